package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
)

// checkFiles reports files and folders that the process cannot use, and reads
// Secret from SecretFile.
func (c *checker) checkFiles() {
	s := c.settings
	if s.SecretFile != "" && !s.Secret.IsSet() {
		secret, err := ReadSecretFile(s.SecretFile)
		if err != nil {
			c.Report("secretFile", "%s", messageOf(err))
		} else {
			s.Secret = secret
		}
	}
	if s.Control.DataFolder != "" {
		c.CheckFolder("control.dataFolder", s.Control.DataFolder)
	}
	if s.TLS.CertFile != "" && s.TLS.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(s.TLS.CertFile, s.TLS.KeyFile); err != nil {
			c.Report("tls.certFile", "certificate and key cannot be used: %s", messageOf(err))
		}
	}
	if s.TLS.CAFile != "" {
		pem, err := os.ReadFile(s.TLS.CAFile)
		switch {
		case err != nil:
			c.Report("tls.caFile", "%s", messageOf(err))
		case !x509.NewCertPool().AppendCertsFromPEM(pem):
			c.Report("tls.caFile", "contains no certificate")
		}
	}
}

// messageOf returns the text of err without this package's error prefix.
func messageOf(err error) string {
	if inner := errors.Unwrap(err); inner != nil && Error.Has(err) {
		return inner.Error()
	}
	return err.Error()
}
