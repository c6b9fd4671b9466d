package gate

import (
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// Config is the configuration of the gate of one process.
type Config struct {
	Self       table.MemberID
	DataCentre string
	// MaxPaymentBody is the largest body of a payment in bytes. The body is held
	// in memory to compute its digest, by which a retry is compared.
	MaxPaymentBody int64
	// MaxRecordedBody is the largest body of an answer that is recorded, in bytes.
	// It is bounded because a record takes memory on every copy.
	MaxRecordedBody int64
	// AnnounceTimeout is the time without an announcement after which a target
	// counts as gone and its units move; 0 disables the check. A shorter time
	// moves units away from a frozen target sooner, but also from one that is
	// only slow.
	AnnounceTimeout time.Duration
	// RequireFences makes the gate refuse targets that do not check fences.
	RequireFences bool
	// Stopper ends requests of other processes before the process ends; nil for none.
	Stopper *call.Stopper
}

// Default values of Config; the sizes are in bytes.
const (
	DefaultMaxPaymentBody  = 1 << 20
	DefaultMaxRecordedBody = 64 << 10
	// DefaultAnnounceTimeout allows for three missed announcements, which come
	// every 200 ms, and leaves more than a second of the 2 s within which a key
	// must be served again.
	DefaultAnnounceTimeout = 750 * time.Millisecond
)

// limits returns the limiter's configuration for a target of a service.
func limits(s *config.Service, slots int) admission.Config {
	full := s.WithDefaults()
	if c := full.Limits.SlotsPerTarget; c > 0 {
		slots = min(slots, c)
	}
	return admission.Config{
		Slots:             min(slots, full.Limits.ConnectionsPerTarget),
		RampStartSlots:    full.Ramp.StartSlots,
		RampDuration:      time.Duration(full.Ramp.DurationMs) * time.Millisecond,
		QueueLength:       full.Limits.QueueLength,
		KeepQueueWhenSlow: full.Sharded(),
	}
}
