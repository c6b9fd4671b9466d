// Package fleetsettings reads the settings of a process in fleet mode (with a
// routing document and key ranges): JSON with comments, checked as a whole, with
// the line and column of every finding.
package fleetsettings

import (
	"os"
	"path/filepath"

	"github.com/zeebo/errs"

	"bramleyquay.example/router/settings"
	"bramleyquay.example/router/strictjson"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Settings are the settings of one process. They are fixed while it runs.
type Settings struct {
	// Cluster must be equal in all processes that talk to each other.
	Cluster string `json:"cluster"`
	// Secret is shared by all processes. A file sets exactly one of Secret,
	// SecretFile and TrustNetwork; Load reads SecretFile into Secret.
	Secret     settings.Secret `json:"secret"`
	SecretFile string          `json:"secretFile"`
	// TrustNetwork accepts peers without a secret.
	TrustNetwork bool `json:"trustNetwork"`
	// Peer is the address that other processes dial. It identifies the process.
	// The ports of Peer and Listen.Gate are the same in all processes.
	Peer string `json:"peer"`
	// Seeds are the peer addresses of control replicas.
	Seeds   []string    `json:"seeds"`
	Listen  Listen      `json:"listen"`
	Target  Target      `json:"target"`
	Control Control     `json:"control"`
	Lease   Lease       `json:"lease"`
	Budget  RetryBudget `json:"budget"`
	// MemoryMB is the memory limit of the process in MiB, which the garbage
	// collector aims to stay below. 0 sets no limit.
	MemoryMB int64 `json:"memoryMB"`
	// ShutdownTimeoutMs bounds a planned stop, in milliseconds.
	ShutdownTimeoutMs int64 `json:"shutdownTimeoutMs"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// Listen holds addresses of the form host:port with a numeric IP address.
type Listen struct {
	// Peer is the address of the peer listener if it is not Settings.Peer, for a
	// process behind a port forwarder.
	Peer string `json:"peer"`
	// Caller accepts requests of callers, Gate those of other processes, and
	// Target the announcements of the target that the process is the sidecar of.
	// Announcements are not authenticated: Target must be an address that only
	// this machine can reach.
	Caller string `json:"caller"`
	Gate   string `json:"gate"`
	Target string `json:"target"`
	// GatePort is the port at which other processes reach the gates, if the port
	// of Gate is behind a port forwarder.
	GatePort int `json:"gatePort"`
	// Metrics serves metrics; an empty address disables it.
	Metrics string `json:"metrics"`
}

// Target describes the target that the process is the sidecar of.
type Target struct {
	DataCentre string `json:"dataCentre"`
	Service    string `json:"service"`
	Address    string `json:"address"`
}

// Control says how the process takes part in the control group.
type Control struct {
	// DataFolder holds the log and snapshots of a replica. It must exist.
	DataFolder string `json:"dataFolder"`
	// ToleratedFailures is the number of replicas that may be lost at once.
	ToleratedFailures int `json:"losses"`
}

// Lease configures how long targets may serve their keys without contact with
// the control group. It must be equal in all processes.
type Lease struct {
	// AnnounceIntervalMs is the usual time between two announcements of a
	// target, in milliseconds.
	AnnounceIntervalMs int64 `json:"announceIntervalMs"`
	// MaxHoldMs is the longest grant that targets accept, in milliseconds.
	MaxHoldMs int64 `json:"maxHoldMs"`
}

// RetryBudget bounds the retries of all processes together: each request adds
// Ratio of a retry to the budget, which holds at most Burst retries. Half of both
// is used, because a process does not see all retries of the others.
type RetryBudget struct {
	Ratio float64 `json:"ratio"`
	Burst float64 `json:"slack"`
}

// Default values of Load.
const (
	DefaultLogLevel           = "info"
	DefaultShutdownTimeoutMs  = 10_000
	DefaultAnnounceIntervalMs = 1_000
	DefaultMaxHoldMs          = 10_000
	// DefaultRetryRatio and DefaultRetryBurst keep retries well below the spare
	// capacity of a service when one of ten targets fails.
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 10
)

// Load reads and checks the settings of a process. It returns an error only if
// the file cannot be read. With findings the process must not start. Relative
// paths in the file are relative to its folder and are returned joined to it.
func Load(path string) (*Settings, []settings.Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, Error.New("cannot read settings: %w", err)
	}
	s := &Settings{
		LogLevel: DefaultLogLevel, ShutdownTimeoutMs: DefaultShutdownTimeoutMs,
		Lease:  Lease{AnnounceIntervalMs: DefaultAnnounceIntervalMs, MaxHoldMs: DefaultMaxHoldMs},
		Budget: RetryBudget{Ratio: DefaultRetryRatio, Burst: DefaultRetryBurst},
	}
	positions, findings := strictjson.Decode(text, s)
	if len(findings) == 0 {
		for _, p := range []*string{&s.SecretFile, &s.Control.DataFolder} {
			if *p != "" && !filepath.IsAbs(*p) {
				*p = filepath.Join(filepath.Dir(path), *p)
			}
		}
		c := &checker{Validator: settings.NewValidator(positions, findings), s: s}
		c.check()
		findings = c.Findings()
	}
	return s, settings.FindingsInFile(path, findings), nil
}

// IsReplica reports whether the process is a control replica.
func (s *Settings) IsReplica() bool { return s.Control.DataFolder != "" }

// IsSidecar reports whether the process is the sidecar of a target.
func (s *Settings) IsSidecar() bool { return s.Target != Target{} }
