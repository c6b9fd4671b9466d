// Package settings reads the settings of one process of a cluster with hashed
// shards (coord/control): JSON with comments, checked as a whole, with the line
// and column of every finding. Package fleetsettings reads those of the fleet
// mode and uses the findings, secrets and checks of this package.
package settings

// Settings are the settings of one process. They are fixed while it runs.
type Settings struct {
	// ID identifies the process in the cluster. It stays the same over restarts.
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	// Cluster must be equal in all processes that talk to each other.
	Cluster string `json:"cluster"`
	// Secret is shared by all processes of the cluster and its operators. A file
	// sets either Secret or SecretFile; Load reads SecretFile into Secret.
	Secret Secret `json:"secret"`
	// SecretFile is a path; surrounding white space in the file is ignored.
	SecretFile string  `json:"secretFile"`
	Listen     Listen  `json:"listen"`
	Control    Control `json:"control"`
	Target     Target  `json:"target"`
	Log        Log     `json:"log"`
	// ShutdownTimeoutMs bounds a planned stop, in milliseconds. A longer time
	// interrupts fewer requests and delays a restart. Requests that have not ended
	// by its last sixth get a failure that states whether they may have run.
	ShutdownTimeoutMs int64 `json:"shutdownTimeoutMs"`
	TLS               TLS   `json:"tls"`
}

// Listen has addresses of the form host:port with a numeric IP address. Port 0
// selects any free port. An empty address disables the listener.
type Listen struct {
	// Caller accepts requests for services.
	Caller string `json:"caller"`
	// Peer accepts connections of the other processes of the cluster. Every
	// process needs it.
	Peer string `json:"peer"`
	// Platform accepts announcements of the target that the process is the
	// sidecar of.
	Platform string `json:"platform"`
	// Operator serves the API and the console.
	Operator string `json:"operator"`
	// Admin serves metrics and health.
	Admin string `json:"admin"`
}

// Control says how the process takes part in the control group.
type Control struct {
	// Replica makes the process a control replica, a member of the control
	// group.
	Replica bool `json:"replica"`
	// DataFolder holds the log and snapshots of a replica. It must exist: a
	// replica that starts on an unmounted folder would vote without its log.
	DataFolder string `json:"dataFolder"`
	// Bootstrap starts a new control group of all Peers. It is set at the
	// first start only. It has no effect if DataFolder contains a log, or
	// if the group was bootstrapped with another data folder of this
	// process.
	Bootstrap bool `json:"bootstrap"`
	// Peers are the control replicas. Every process needs their addresses.
	Peers []ControlPeer `json:"peers"`
}

// ControlPeer is the id and the peer address of a control replica.
type ControlPeer struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Target describes the target that the process is the sidecar of.
type Target struct {
	// Expected says that a target will announce itself to this process.
	Expected bool `json:"expected"`
	// ChecksFences says that the target refuses requests with an older
	// epoch of their unit and requests after its grant has expired. Without
	// it the units of a lost member get another owner only after a grace
	// period (lease.Config.Grace), because a request that was sent at the
	// end of the lease may still reach the target.
	ChecksFences bool `json:"checksFences"`
}

// Log says what the process logs.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string `json:"level"`
	// Format is json or console.
	Format string `json:"format"`
}

// TLS holds paths of PEM files. With a certificate the operator listener uses
// TLS. With CAFile it also accepts clients by certificate, and connections
// between processes use TLS too: both sides must have a certificate of that CA,
// so CAFile must be set in all processes or in none.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
}

// Default values of Load, and limits.
const (
	DefaultLogLevel          = "info"
	DefaultLogFormat         = "json"
	DefaultShutdownTimeoutMs = 30_000
	// MaxShutdownTimeoutMs is an hour, also in fleet mode. A longer value
	// is more likely given in the wrong unit than intended.
	MaxShutdownTimeoutMs = 60 * 60 * 1_000
)
