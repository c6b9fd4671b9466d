package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// GrantPath is where a target that checks fences receives its grants.
const GrantPath = "/bramleyquay/grant"

const (
	// grantInterval renews a grant four times within a lease of one second.
	grantInterval = 200 * time.Millisecond
	// grantMargin is taken off the remaining lease for the way to the target.
	grantMargin  = 20 * time.Millisecond
	grantTimeout = 150 * time.Millisecond
)

// Grant allows a target to run requests for a time. A target that checks
// fences refuses requests after it, by its own clock, with Bq-Outcome not-run.
type Grant struct {
	// ValidMs is the time in milliseconds from the grant's arrival.
	ValidMs int64 `json:"validMs"`
	// ValidUntilMs is the same end in Unix milliseconds; the earlier one counts.
	// A target that was frozen finds old grants in its connections when it
	// wakes, and must not count them from then.
	ValidUntilMs int64 `json:"validUntilMs"`
	// Incarnation is the incarnation of the member that grants.
	Incarnation uint64 `json:"fence"`
}

// RunGrants renews the target's grant until ctx ends.
func (g *Gate) RunGrants(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.grantNow:
		}
		if t := g.target.Load(); t != nil && t.ChecksFences {
			g.grant(ctx, t)
		}
	}
}

// requestGrant gives the target a grant at once.
func (g *Gate) requestGrant() {
	select {
	case g.grantNow <- struct{}{}:
	default:
	}
}

func (g *Gate) grant(ctx context.Context, t *target) {
	valid := g.members.LeaseRemaining() - grantMargin
	if valid <= 0 {
		return
	}
	body, err := json.Marshal(Grant{ValidMs: valid.Milliseconds(), ValidUntilMs: time.Now().Add(valid).UnixMilli(), Incarnation: g.members.View().Incarnation})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+GrantPath, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := t.grants.RoundTrip(req)
	if err != nil {
		g.log.Debugf("grant to the target failed: %v", err)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10)) // lets the connection be used again
	_ = resp.Body.Close()                                        // nothing is read from it
}
