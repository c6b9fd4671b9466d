package gate

import (
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

// Config describes the gate of one process.
type Config struct {
	Self       table.MemberID
	DataCentre string
	// MaxPaymentBody is the largest body of a payment in bytes; it is held in
	// memory to compare it with a resend.
	MaxPaymentBody int64
	// MaxRecordedBody is the largest answer that is recorded in bytes. Larger
	// answers cost memory on every copy.
	MaxRecordedBody int64
	// AnnounceTimeout is the time without an announcement after which a target
	// counts as gone and its units move; 0 waits for ever. A shorter time moves
	// units away from a frozen target sooner and from a slow one wrongly.
	AnnounceTimeout time.Duration
	// RequireFences refuses targets that do not check fences.
	RequireFences bool
}

// Default values.
const (
	DefaultMaxPaymentBody  = 1 << 20
	DefaultMaxRecordedBody = 64 << 10
	// DefaultAnnounceTimeout leaves three announcements, which come every 200 ms,
	// and a second of the 2 s within which a key is served again.
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
