// Package fleetsettings reads the settings of a process in fleet mode (with a
// routing document and key ranges): JSON with comments. Every finding has a
// line and a column. Values are checked only if the whole text can be decoded.
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
	// TrustNetwork accepts peers without a secret. It is for networks that
	// only the cluster's processes can reach.
	TrustNetwork bool `json:"trustNetwork"`
	// Peer is the address that other processes dial. It identifies the
	// process. They reach its gate at the same host and at the common gate
	// port, which is Listen.GatePort or, if that is 0, the port of
	// Listen.Gate. The port of Peer and the gate port are the same in all
	// processes.
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
	// Caller accepts requests of callers, Gate requests that other
	// processes forward to the target, and Target the announcements of the
	// target. A sidecar needs all three; without a target they must be
	// empty. Announcements are not authenticated: Target must be an address
	// that only this machine can reach.
	Caller string `json:"caller"`
	Gate   string `json:"gate"`
	Target string `json:"target"`
	// GatePort is the port at which other processes reach the gates, if the port
	// of Gate is behind a port forwarder.
	GatePort int `json:"gatePort"`
	// Metrics serves metrics; an empty address disables it.
	Metrics string `json:"metrics"`
}

// Target describes the target that the process is the sidecar of. A process is
// a sidecar if any field is set; then all are required.
type Target struct {
	DataCentre string `json:"dataCentre"`
	Service    string `json:"service"`
	Address    string `json:"address"`
}

// Control says how the process takes part in the control group. A process is a
// control replica if DataFolder is set.
type Control struct {
	// DataFolder holds the log and snapshots of a replica. It must exist.
	DataFolder string `json:"dataFolder"`
	// ToleratedFailures is the number of replicas that may be lost at once.
	// The control group aims for twice that number of voters plus one.
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
	// Grants says how targets are granted their keys: GrantsByAnnouncement or
	// GrantsByRequest.
	Grants string `json:"grants"`
}

// The values of Lease.Grants.
const (
	// GrantsByAnnouncement grants keys in the answers to announcements.
	GrantsByAnnouncement = "announce"
	// GrantsByRequest grants keys by calls to the target.
	GrantsByRequest = "request"
)

// RetryBudget bounds the retries of all processes together, separately for each
// service: each request adds Ratio of a retry to the budget, which starts empty
// and holds at most Burst retries. The ingresses use half of both; the rest is
// left for the calls that a retried request makes in turn, and for the time in
// which a process does not know the current number of processes.
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
	// DefaultRetryRatio is in retries per request, DefaultRetryBurst in
	// retries. They keep retries well below the spare capacity of a service
	// when one of ten targets fails.
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 10
)

// Load reads and checks the settings of a process. It returns an error only if
// the file cannot be read. With findings the process must not start. If the
// decoder has findings, Load returns only these and checks no values. Otherwise
// relative paths in the file, which are relative to its folder, are returned
// joined to it.
func Load(path string) (*Settings, []settings.Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, Error.New("cannot read settings: %w", err)
	}
	s := &Settings{
		LogLevel: DefaultLogLevel, ShutdownTimeoutMs: DefaultShutdownTimeoutMs,
		Lease:  Lease{AnnounceIntervalMs: DefaultAnnounceIntervalMs, MaxHoldMs: DefaultMaxHoldMs, Grants: GrantsByAnnouncement},
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
