// Package fleetsettings reads the settings of a process that routes by
// document and grants ranges of keys: JSON with comments, checked as a whole,
// with every finding at its line and column.
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
	// Secret is shared by all processes. A text gives either Secret or
	// SecretFile, or says that the network is trusted.
	Secret     settings.Secret `json:"secret"`
	SecretFile string          `json:"secretFile"`
	// TrustNetwork accepts peers without a secret.
	TrustNetwork bool `json:"trustNetwork"`
	// Peer is the address that other processes dial; it names the process. The
	// ports of Peer and Listen.Gate are the same in all processes.
	Peer string `json:"peer"`
	// Seeds are the peer addresses of control replicas.
	Seeds   []string    `json:"seeds"`
	Listen  Listen      `json:"listen"`
	Target  Target      `json:"target"`
	Control Control     `json:"control"`
	Lease   Lease       `json:"lease"`
	Budget  RetryBudget `json:"budget"`
	// MemoryMB is the process's limit in MiB; the collector keeps below it.
	// Zero sets no limit.
	MemoryMB int64 `json:"memoryMB"`
	// ShutdownTimeoutMs bounds a planned stop, in milliseconds.
	ShutdownTimeoutMs int64 `json:"shutdownTimeoutMs"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// Listen holds addresses of the form host:port with a numeric IP address.
type Listen struct {
	// Peer replaces the address of Settings.Peer for the listener, for a
	// process behind a forwarder.
	Peer string `json:"peer"`
	// Caller accepts requests of callers, Gate those of other processes, and
	// Target the announcements of the target beside the process. Announcements
	// prove nothing about who sends them: Target belongs on an address that
	// only this machine reaches.
	Caller string `json:"caller"`
	Gate   string `json:"gate"`
	Target string `json:"target"`
	// GatePort is the port at which other processes reach the gates, if that of
	// Gate is behind a forwarder.
	GatePort int `json:"gatePort"`
	// Metrics serves metrics; empty leaves them out.
	Metrics string `json:"metrics"`
}

// Target describes the target beside the process.
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

// Lease says how long targets may hold keys without news from control. It is
// equal in all processes.
type Lease struct {
	// AnnounceIntervalMs is the usual time between two announcements.
	AnnounceIntervalMs int64 `json:"announceIntervalMs"`
	// MaxHoldMs is the longest time that a target takes a grant for.
	MaxHoldMs int64 `json:"maxHoldMs"`
}

// RetryBudget bounds the repeats of all processes together: Ratio of a repeat for
// each request, of which up to Burst repeats can be saved up. Half of both is
// used, since a process does not see all repeats of the others.
type RetryBudget struct {
	Ratio float64 `json:"ratio"`
	Burst float64 `json:"slack"`
}

// Values that Load fills in where a text gives none.
const (
	DefaultLogLevel           = "info"
	DefaultShutdownTimeoutMs  = 10_000
	DefaultAnnounceIntervalMs = 1_000
	DefaultMaxHoldMs          = 10_000
	// DefaultRetryRatio and DefaultRetryBurst keep repeats well below the load that a
	// service has to spare when one of ten targets fails.
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 10
)

// Load reads the settings of a process. An error means that the file could not
// be read. With findings the process must not start. Relative paths in the
// file are relative to its folder and are returned joined to it.
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
	positions, found := strictjson.Decode(text, s)
	if len(found) == 0 {
		for _, p := range []*string{&s.SecretFile, &s.Control.DataFolder} {
			if *p != "" && !filepath.IsAbs(*p) {
				*p = filepath.Join(filepath.Dir(path), *p)
			}
		}
		c := &checker{Validator: settings.NewChecks(positions, found), s: s}
		c.check()
		found = c.Findings()
	}
	return s, settings.FindingsInFile(path, found), nil
}

// IsReplica reports whether the process is a control replica.
func (s *Settings) IsReplica() bool { return s.Control.DataFolder != "" }

// IsSidecar reports whether the process stands beside a target.
func (s *Settings) IsSidecar() bool { return s.Target != Target{} }
