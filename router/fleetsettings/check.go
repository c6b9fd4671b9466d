package fleetsettings

import (
	"fmt"
	"net/netip"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/settings"
)

// checker validates decoded settings.
type checker struct {
	*settings.Validator
	s *Settings
}

func (c *checker) check() {
	s := c.s
	c.CheckName("cluster", s.Cluster)
	c.loadSecret()
	c.address("peer", s.Peer, true)
	if len(s.Seeds) == 0 {
		c.Report("seeds", "is missing: every process needs the control replicas' peer addresses")
	}
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed, true)
	}
	c.address("listen.peer", s.Listen.Peer, false)
	c.address("listen.metrics", s.Listen.Metrics, false)
	if !s.IsReplica() && !s.IsSidecar() {
		c.Report("", "the process has no role: give target, or control.dataFolder")
	}
	c.sidecar()
	c.control()
	c.limits()
	c.CheckLogLevel("logLevel", s.LogLevel)
}

// address reports a text that is not an address with a numeric IP and a port
// other than 0. An empty text is reported only if it is required.
func (c *checker) address(path, text string, required bool) {
	if text == "" {
		if required {
			c.Report(path, "is missing")
		}
		return
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		c.Report(path, "%q is not an address with a numeric IP and a port, such as 127.0.0.1:7000", text)
	case a.Port() == 0:
		c.Report(path, "%q has port 0, which other processes cannot dial", text)
	}
}

// loadSecret checks the ways of giving the secret and reads Secret from
// SecretFile.
func (c *checker) loadSecret() {
	s := c.s
	given := s.Secret.IsSet() || s.SecretFile != ""
	switch {
	case s.Secret.IsSet() && s.SecretFile != "":
		c.Report("secretFile", "secret and secretFile exclude each other")
	case given && s.TrustNetwork:
		c.Report("trustNetwork", "has no use with a secret")
	case !given && !s.TrustNetwork:
		c.Report("secretFile", "is missing: give secret or secretFile, or set trustNetwork if only the cluster's processes can reach the network")
	case s.Secret.IsSet() && len(s.Secret.Bytes()) < settings.MinSecretLength:
		c.Report("secret", "must have at least %d characters", settings.MinSecretLength)
	case s.SecretFile != "":
		secret, err := settings.ReadSecretFile(s.SecretFile)
		if err != nil {
			c.Report("secretFile", "%s", err)
			return
		}
		s.Secret = secret
	}
}

func (c *checker) sidecar() {
	s := c.s
	if !s.IsSidecar() {
		for path, set := range map[string]bool{"listen.caller": s.Listen.Caller != "", "listen.gate": s.Listen.Gate != "", "listen.target": s.Listen.Target != ""} {
			if set {
				c.Report(path, "has no use without a target")
			}
		}
		return
	}
	c.CheckName("target.dataCentre", s.Target.DataCentre)
	c.service("target.service", s.Target.Service)
	c.address("target.address", s.Target.Address, true)
	c.address("listen.caller", s.Listen.Caller, true)
	c.address("listen.gate", s.Listen.Gate, true)
	c.address("listen.target", s.Listen.Target, true)
}

// service reports a name that no service of a routing document can have.
func (c *checker) service(path, name string) {
	if name == "" {
		c.Report(path, "is missing")
	} else if reason := routes.CheckServiceName(name); reason != "" {
		c.Report(path, "%s", reason)
	}
}

func (c *checker) control() {
	s := c.s
	if !s.IsReplica() {
		if s.Control != (Control{}) {
			c.Report("control.dataFolder", "is missing: a control replica needs a data folder")
		}
		return
	}
	c.CheckFolder("control.dataFolder", s.Control.DataFolder)
	if s.Control.ToleratedFailures < 0 {
		c.Report("control.losses", "must not be negative")
	}
}

func (c *checker) limits() {
	s := c.s
	if s.Lease.AnnounceIntervalMs <= 0 {
		c.Report("lease.announceIntervalMs", "must be above 0")
	}
	if s.Lease.MaxHoldMs <= s.Lease.AnnounceIntervalMs {
		c.Report("lease.maxHoldMs", "must be longer than announceIntervalMs, or targets lose their keys between two announcements")
	}
	if s.Lease.Grants != GrantsByAnnouncement && s.Lease.Grants != GrantsByRequest {
		c.Report("lease.grants", "must be %q or %q", GrantsByAnnouncement, GrantsByRequest)
	}
	if s.Budget.Ratio < 0 || s.Budget.Burst < 0 {
		c.Report("budget", "must not be negative")
	}
	if s.MemoryMB < 0 {
		c.Report("memoryMB", "must not be negative")
	}
	if s.ShutdownTimeoutMs < 0 || s.ShutdownTimeoutMs > settings.MaxShutdownTimeoutMs {
		c.Report("shutdownTimeoutMs", "must be from 0 to %d milliseconds", settings.MaxShutdownTimeoutMs)
	}
	if s.Listen.GatePort < 0 || s.Listen.GatePort > 65535 {
		c.Report("listen.gatePort", "must be a port")
	}
}
