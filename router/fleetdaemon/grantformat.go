package fleetdaemon

import (
	"time"

	"bramleyquay.example/coord/grant"
	"bramleyquay.example/router/grantcall"
	"bramleyquay.example/router/timesource"
)

// Paths of the HTTP calls that the sidecar process sends to a target whose key ranges
// are granted by calls.
const (
	PathGrant   = "/v1/grant"
	PathRelease = "/v1/release"
)

// HeaderHandover is the header with the handover token in the answer to a release.
const HeaderHandover = "Bq-Handover"

// GrantRequest is the body of a call of PathGrant or PathRelease.
type GrantRequest struct {
	Range
	// HoldMs is the duration of the grant in milliseconds from the arrival of the
	// call. It is absent in a release.
	HoldMs int64 `json:"holdMs,omitempty"`
	// UntilMs is the latest end of the grant in Unix milliseconds. The earlier of both
	// ends applies.
	UntilMs int64 `json:"untilMs,omitempty"`
}

// GrantFormat returns the format of the product's own grant calls. targetHeader names
// the target that a call is meant for, idHeader the id that the answer echoes.
func GrantFormat(targetHeader, idHeader string) *grantcall.Format {
	return &grantcall.Format{
		GrantPath: PathGrant, ReleasePath: PathRelease, HandoverHeader: HeaderHandover, TargetHeader: targetHeader, RequestIDHeader: idHeader,
		Body: func(c grant.Call) any {
			body := GrantRequest{Range: Range{From: c.Range.From, To: c.Range.To, Fence: c.Range.Fence, Handover: c.Range.HandoverToken}}
			if c.Kind == grant.GrantCall {
				body.HoldMs = c.Duration.Milliseconds()
				body.UntilMs = time.Now().Add(c.Until - timesource.BootTime().Mono).UnixMilli()
			}
			return body
		},
	}
}
