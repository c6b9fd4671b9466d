package daemon

import (
	"crypto/tls"
	"net"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/operatorrpc"
)

// registerOperatorRPC registers the RPC methods for operators' requests if this
// process has the control role. Other processes forward operators' requests to the
// control leader by these methods.
func (d *Daemon) registerOperatorRPC() {
	if d.control != nil {
		local := operatorrpc.NewService(d.control, d.client, d.cfg.Cluster, MethodDump)
		operatorrpc.Register(d.rpc, local)
	}
}

// serveOperator serves the operator listener, if configured. Its requests are
// forwarded to the control leader.
func (d *Daemon) serveOperator() {
	l := d.listeners["operator"]
	if l == nil {
		return
	}
	auth := operator.Auth{Secret: d.cfg.Secret, SecureCookie: d.tls != nil, Certificates: d.tls != nil && d.tls.ClientCAs != nil}
	remote := operatorrpc.NewClient(d.client, d.controlAddrs(), d.agent.Leader)
	server := operator.NewServer(operator.Handler(remote, auth, d.logs))
	d.run("operator", server, d.operatorTLS(l))
}

// operatorTLS wraps the listener in TLS if it is configured. Client certificates
// are verified but not required: operators may use the secret instead.
func (d *Daemon) operatorTLS(l net.Listener) net.Listener {
	if d.tls == nil {
		return l
	}
	c := d.tls.Clone()
	if c.ClientCAs != nil {
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return tls.NewListener(l, c)
}
