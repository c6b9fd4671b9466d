package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// checkFiles finds files and folders that the process could not use.
func (c *checker) checkFiles() {
	s := c.settings
	if s.SecretFile != "" && !s.Secret.IsSet() {
		secret, err := ReadSecretFile(s.SecretFile)
		if err != nil {
			c.report("secretFile", "%s", reason(err))
		} else {
			s.Secret = secret
		}
	}
	if s.Control.DataFolder != "" {
		c.checkFolder("control.dataFolder", s.Control.DataFolder)
	}
	if s.TLS.CertFile != "" && s.TLS.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(s.TLS.CertFile, s.TLS.KeyFile); err != nil {
			c.report("tls.certFile", "certificate and key cannot be used: %s", reason(err))
		}
	}
	if s.TLS.CAFile != "" {
		pem, err := os.ReadFile(s.TLS.CAFile)
		switch {
		case err != nil:
			c.report("tls.caFile", "%s", reason(err))
		case !x509.NewCertPool().AppendCertsFromPEM(pem):
			c.report("tls.caFile", "holds no certificate")
		}
	}
}

func (c *checker) checkFolder(path, folder string) {
	info, err := os.Stat(folder)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		c.report(path, "%s does not exist; create it before the first start", folder)
	case err != nil:
		c.report(path, "cannot be reached: %s", reason(err))
	case !info.IsDir():
		c.report(path, "%s is not a folder", folder)
	default:
		// Read, write and search permission, as in access(2).
		const readWriteSearch = 4 | 2 | 1
		if err := syscall.Access(folder, readWriteSearch); err != nil {
			c.report(path, "%s cannot be written: %s", folder, err)
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
