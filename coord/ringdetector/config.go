package ringdetector

import (
	"time"

	"bramleyquay.example/coord/table"
)

// Config configures a Detector.
type Config struct {
	Self table.MemberID
	// Period is the time between heartbeats to the successor.
	Period time.Duration
	// Timeout is the time without an answer after which the successor is
	// suspected. A shorter one detects failures sooner and suspects more members
	// that are only paused.
	Timeout time.Duration
}
