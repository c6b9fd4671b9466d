package daemon

import (
	"crypto/tls"
	"crypto/x509"
	stdlog "log"
	"os"
	"strings"

	"bramleyquay.example/router/logging"
)

// openTLS reads the certificate and the CA, if they are configured. The operator
// listener uses the certificate; connections between processes use it only with a
// CA. Without TLS they are protected by the shared secret alone.
func (d *Daemon) openTLS() error {
	t := d.cfg.TLS
	if t.CertFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return Error.New("tls: %v", err)
	}
	d.tls = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if t.CAFile == "" {
		return nil
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return Error.New("tls: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Error.New("tls: %s holds no certificate", t.CAFile)
	}
	d.tls.RootCAs, d.tls.ClientCAs = pool, pool
	return nil
}

// serverTLS returns the configuration of the peer listener, nil for plain TCP.
// Connections between processes use TLS only with a CA, because both sides verify
// the other's certificate.
func (d *Daemon) serverTLS() *tls.Config {
	if d.tls == nil || d.tls.ClientCAs == nil {
		return nil
	}
	c := d.tls.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c
}

// clientTLS returns the configuration for connections to peers, nil for plain TCP.
func (d *Daemon) clientTLS() *tls.Config {
	if d.tls == nil || d.tls.RootCAs == nil {
		return nil
	}
	return d.tls.Clone()
}

// httpErrorLog returns a logger for http.Server that logs at debug level, because
// remote ends cause these errors.
func httpErrorLog(l logging.Logger) *stdlog.Logger {
	return stdlog.New(debugWriter{l}, "", 0)
}

// debugWriter logs each write as one line at debug level.
type debugWriter struct{ log logging.Logger }

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	w.log.Debugf("%s", strings.TrimSpace(string(p)))
	return len(p), nil
}
