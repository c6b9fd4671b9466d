package fleetsettings

import (
	"time"

	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/relay"
)

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Config returns the configuration of the daemon for these settings.
func (s *Settings) Config() fleetdaemon.Config {
	cfg := fleetdaemon.Config{
		Cluster: s.Cluster, Peer: s.Peer, ListenPeer: s.Listen.Peer, TrustNetwork: s.TrustNetwork, Secret: s.Secret.Bytes(), Seeds: s.Seeds,
		Metrics: s.Listen.Metrics, StopTimeout: ms(s.ShutdownTimeoutMs), MemoryBytes: s.MemoryMB << 20,
		Lease: fleetdaemon.LeaseConfig{AnnounceInterval: ms(s.Lease.AnnounceIntervalMs), MaxHold: ms(s.Lease.MaxHoldMs)},
	}
	if s.IsSidecar() {
		cfg.Sidecar = &fleetdaemon.Sidecar{
			DataCentre: s.Target.DataCentre, Caller: s.Listen.Caller, Gate: s.Listen.Gate, GatePort: s.Listen.GatePort,
			Announce: s.Listen.Target, Target: s.Target.Address, Service: s.Target.Service,
			HeaderNames: relay.DefaultHeaderNames, Budget: relay.RetryBudgetConfig{Ratio: s.Budget.Ratio, Burst: s.Budget.Burst},
		}
	}
	byRequest := s.Lease.Grants == GrantsByRequest
	if s.IsSidecar() && byRequest {
		cfg.Sidecar.GrantFormat = fleetdaemon.GrantFormat(relay.DefaultHeaderNames.Target, relay.DefaultHeaderNames.RequestID)
	}
	if s.IsReplica() {
		cfg.Control = &fleetdaemon.ControlConfig{DataDir: s.Control.DataFolder, ToleratedFailures: s.Control.ToleratedFailures, GrantsByRequest: byRequest}
	}
	return cfg
}
