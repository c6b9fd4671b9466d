package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"bramleyquay.example/router/netopt"
)

// Dialer opens authenticated connections to peer listeners.
type Dialer struct {
	// Secret is the cluster's shared secret.
	Secret []byte
	// TLS is the client configuration; nil for plain TCP.
	TLS *tls.Config
}

// Dial connects to a peer listener and completes the handshake within
// handshakeTimeout or ctx, whichever ends first.
func (d *Dialer) Dial(ctx context.Context, addr string, ch Channel) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := d.connect(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // a failure shows at the next read
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err = clientHandshake(conn, d.Secret, ch)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, Error.Wrap(conn.SetDeadline(time.Time{}))
}

func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	if d.TLS != nil {
		return (&tls.Dialer{Config: d.TLS, NetDialer: &net.Dialer{KeepAliveConfig: netopt.KeepAlive, Control: netopt.Control}}).DialContext(ctx, "tcp", addr)
	}
	dialer := net.Dialer{KeepAliveConfig: netopt.KeepAlive, Control: netopt.Control}
	return dialer.DialContext(ctx, "tcp", addr)
}
