package settings

import (
	"fmt"
	"slices"
	"strings"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/strictjson"
)

// checker collects findings about decoded settings.
type checker struct {
	settings  *Settings
	positions *strictjson.Positions
	findings  []strictjson.Finding
	// broken holds paths that already have a finding. A wrong type must not
	// lead to a second finding that the value is missing.
	broken map[string]bool
}

func (c *checker) reportAll(found []strictjson.Finding) {
	c.broken = map[string]bool{}
	for _, f := range found {
		c.broken[f.Path] = true
	}
	c.findings = append(c.findings, found...)
}

func (c *checker) report(path, format string, args ...any) {
	for p := path; p != ""; p = p[:max(strings.LastIndexAny(p, ".["), 0)] {
		if c.broken[p] {
			return
		}
	}
	c.findings = append(c.findings, c.positions.At(path, fmt.Sprintf(format, args...)))
}

func (c *checker) checkAll() {
	s := c.settings
	c.checkName("id", s.ID)
	c.checkName("dataCentre", s.DataCentre)
	c.checkName("cluster", s.Cluster)
	c.checkSecret()
	c.checkListeners()
	c.checkPeers()
	c.checkRoles()
	c.checkLog()
	if s.ShutdownTimeoutMs < 0 || s.ShutdownTimeoutMs > MaxShutdownTimeoutMs {
		c.report("shutdownTimeoutMs", "must be from 0 to %d milliseconds", MaxShutdownTimeoutMs)
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		c.report("tls", "certFile and keyFile go together")
	}
	if s.TLS.CAFile != "" && s.TLS.CertFile == "" {
		c.report("tls.caFile", "needs certFile and keyFile")
	}
}

func (c *checker) checkName(path, name string) {
	if fault := config.NameFault(name); fault != "" {
		c.report(path, "%s", fault)
	}
}

func (c *checker) checkSecret() {
	s := c.settings
	switch {
	case s.Secret.IsSet() && s.SecretFile != "":
		c.report("secretFile", "secret and secretFile exclude each other")
	case !s.Secret.IsSet() && s.SecretFile == "":
		if !c.broken["secretFile"] {
			c.report("secret", "is missing: give secret or secretFile")
		}
	case s.Secret.IsSet() && len([]rune(string(s.Secret.Bytes()))) < MinSecretLength:
		c.report("secret", "must have at least %d characters", MinSecretLength)
	}
}

func (c *checker) checkLog() {
	levels := []string{"trace", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, c.settings.Log.Level) {
		c.report("log.level", "must be one of %s", strings.Join(levels, ", "))
	}
	formats := []string{"json", "console"}
	if !slices.Contains(formats, c.settings.Log.Format) {
		c.report("log.format", "must be json or console")
	}
}

func (c *checker) checkRoles() {
	s := c.settings
	control := s.Control
	if control.Replica && control.DataFolder == "" {
		c.report("control.dataFolder", "is missing: a control replica needs a data folder")
	}
	if !control.Replica && control.DataFolder != "" {
		c.report("control.dataFolder", "has no use in a process that is not a control replica")
	}
	if control.Bootstrap && !control.Replica {
		c.report("control.bootstrap", "only a control replica can found the group; set replica")
	}
	named := slices.ContainsFunc(control.Peers, func(p ControlPeer) bool { return p.ID == s.ID })
	if control.Bootstrap && !named {
		c.report("control.bootstrap", "peers does not name this process (%q), which would found a group without itself", s.ID)
	}
	if named && !control.Replica {
		c.report("control.replica", "peers names this process as a control replica, but replica is not set")
	}
	if !control.Replica && s.Listen.Caller == "" {
		c.report("listen.caller", "is missing: a process needs a caller listener unless it is a control replica")
	}
	if s.Target.Expected && s.Listen.Platform == "" {
		c.report("listen.platform", "is missing: the expected target announces itself there")
	}
	if !s.Target.Expected && s.Target.ChecksFences {
		c.report("target.checksFences", "has no use without an expected target")
	}
}
