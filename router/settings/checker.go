package settings

import (
	"slices"
)

// checker validates decoded settings.
type checker struct {
	*Validator
	settings *Settings
}

func (c *checker) checkAll() {
	s := c.settings
	c.CheckName("id", s.ID)
	c.CheckName("dataCentre", s.DataCentre)
	c.CheckName("cluster", s.Cluster)
	c.checkSecret()
	c.checkListeners()
	c.checkPeers()
	c.checkRoles()
	c.checkLog()
	if s.ShutdownTimeoutMs < 0 || s.ShutdownTimeoutMs > MaxShutdownTimeoutMs {
		c.Report("shutdownTimeoutMs", "must be from 0 to %d milliseconds", MaxShutdownTimeoutMs)
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		c.Report("tls", "certFile and keyFile go together")
	}
	if s.TLS.CAFile != "" && s.TLS.CertFile == "" {
		c.Report("tls.caFile", "needs certFile and keyFile")
	}
}

func (c *checker) checkSecret() {
	s := c.settings
	switch {
	case s.Secret.IsSet() && s.SecretFile != "":
		c.Report("secretFile", "secret and secretFile exclude each other")
	case !s.Secret.IsSet() && s.SecretFile == "":
		if !c.reported["secretFile"] {
			c.Report("secret", "is missing: give secret or secretFile")
		}
	case s.Secret.IsSet() && len([]rune(string(s.Secret.Bytes()))) < MinSecretLength:
		c.Report("secret", "must have at least %d characters", MinSecretLength)
	}
}

func (c *checker) checkLog() {
	c.CheckLogLevel("log.level", c.settings.Log.Level)
	formats := []string{"json", "console"}
	if !slices.Contains(formats, c.settings.Log.Format) {
		c.Report("log.format", "must be json or console")
	}
}

func (c *checker) checkRoles() {
	s := c.settings
	control := s.Control
	if control.Replica && control.DataFolder == "" {
		c.Report("control.dataFolder", "is missing: a control replica needs a data folder")
	}
	if !control.Replica && control.DataFolder != "" {
		c.Report("control.dataFolder", "has no use in a process that is not a control replica")
	}
	if control.Bootstrap && !control.Replica {
		c.Report("control.bootstrap", "only a control replica can bootstrap the group; set replica")
	}
	isPeer := slices.ContainsFunc(control.Peers, func(p ControlPeer) bool { return p.ID == s.ID })
	if control.Bootstrap && !isPeer {
		c.Report("control.bootstrap", "peers does not name this process (%q), which would bootstrap a group without itself", s.ID)
	}
	if isPeer && !control.Replica {
		c.Report("control.replica", "peers names this process as a control replica, but replica is not set")
	}
	if !control.Replica && s.Listen.Caller == "" {
		c.Report("listen.caller", "is missing: a process needs a caller listener unless it is a control replica")
	}
	if s.Target.Expected && s.Listen.Platform == "" {
		c.Report("listen.platform", "is missing: the expected target announces itself there")
	}
	if !s.Target.Expected && s.Target.ChecksFences {
		c.Report("target.checksFences", "has no use without an expected target")
	}
}
