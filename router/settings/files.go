package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
)

// checkFiles finds files and folders that the process could not use.
func (c *checker) checkFiles() {
	s := c.settings
	if s.SecretFile != "" && !s.Secret.IsSet() {
		secret, err := ReadSecretFile(s.SecretFile)
		if err != nil {
			c.Report("secretFile", "%s", reason(err))
		} else {
			s.Secret = secret
		}
	}
	if s.Control.DataFolder != "" {
		c.Folder("control.dataFolder", s.Control.DataFolder)
	}
	if s.TLS.CertFile != "" && s.TLS.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(s.TLS.CertFile, s.TLS.KeyFile); err != nil {
			c.Report("tls.certFile", "certificate and key cannot be used: %s", reason(err))
		}
	}
	if s.TLS.CAFile != "" {
		pem, err := os.ReadFile(s.TLS.CAFile)
		switch {
		case err != nil:
			c.Report("tls.caFile", "%s", reason(err))
		case !x509.NewCertPool().AppendCertsFromPEM(pem):
			c.Report("tls.caFile", "holds no certificate")
		}
	}
}

// reason leaves the package's own error prefix out of a finding.
func reason(err error) string {
	if inner := errors.Unwrap(err); inner != nil && Error.Has(err) {
		return inner.Error()
	}
	return err.Error()
}
