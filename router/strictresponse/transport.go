package strictresponse

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport for HTTP/1.1 whose connections are checked. For a malformed
// head RoundTrip returns a *FormatError.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that opens connections as t does. It changes t, which
// must not be used by itself.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = checked(dial)
	t.DialTLSContext = checked(func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialTLS(ctx, dial, network, addr, t.TLSClientConfig)
	})
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			conn = c
			c.Begin(r.Method)
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil && conn != nil && conn.Err() != nil {
		err = conn.Err()
	}
	return resp, err
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn, One), nil
	}
}

// dialTLS opens a connection and completes the handshake. http.Transport does that itself
// only for connections that it does not get from DialTLSContext.
func dialTLS(ctx context.Context, dial dialFunc, network, addr string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	raw, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // nothing was sent on it
		return nil, err
	}
	return conn, nil
}
