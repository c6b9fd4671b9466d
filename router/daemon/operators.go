package daemon

import (
	"crypto/tls"
	"net"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/operatorrpc"
)

// buildOperators lets this process answer operators: on the control leader
// directly, elsewhere through it.
func (d *Daemon) buildOperators() {
	if d.control != nil {
		local := operatorrpc.NewLocal(d.control, d.client, d.cfg.Cluster, MethodDump)
		operatorrpc.Register(d.rpc, local)
	}
}

func (d *Daemon) serveOperator() {
	l := d.listeners["operator"]
	if l == nil {
		return
	}
	auth := operator.Auth{Secret: d.cfg.Secret, SecureCookie: d.tls != nil, Certificates: d.tls != nil && d.tls.ClientCAs != nil}
	remote := operatorrpc.NewRemote(d.client, d.controlAddrs(), d.agent.Leader)
	server := operator.NewServer(operator.Handler(remote, auth, d.logs))
	d.run("operator", server, d.operatorTLS(l))
}

// operatorTLS accepts client certificates but does not require them: operators
// may use the secret instead.
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
