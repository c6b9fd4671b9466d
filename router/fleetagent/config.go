package fleetagent

import (
	"time"

	"bramleyquay.example/coord/grant"
)

// Config configures an Agent.
type Config struct {
	// Process is the peer address of the process.
	Process    string
	DataCentre string
	// Service and Address are the service and the address of the process's
	// target.
	Service, Address string
	// AnnounceInterval is the usual time between two announcements of the
	// target.
	AnnounceInterval time.Duration
	// Lease is the duration of a lease, which is equal in all processes: the grants
	// that an earlier start of the process has issued end within it.
	Lease time.Duration
	// Grant configures the grants in the answers to the target's announcements.
	Grant grant.Config
	// Request, if set, is used instead: ranges are granted by calls to the target.
	Request *RequestConfig
}

// RequestConfig configures grants by calls to the target.
type RequestConfig struct {
	Grant grant.RequestConfig
	// Caller sends the calls.
	Caller GrantCaller
}
