package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// GrantPath is the path at which a target that checks fences receives grants.
const GrantPath = "/bramleyquay/grant"

const (
	// grantInterval renews a grant four times within a lease of one second.
	grantInterval = 200 * time.Millisecond
	// grantMargin is subtracted from the remaining lease for the transfer of the
	// grant to the target.
	grantMargin = 20 * time.Millisecond
	// grantTimeout bounds the sending of one grant. It is below grantInterval, so that
	// a late grant does not delay the next one.
	grantTimeout = 150 * time.Millisecond
)

// Grant allows a target to run requests for a time. When it has ended by the
// target's own clock, a target that checks fences refuses requests with status 409
// and Bq-Outcome not-run.
type Grant struct {
	// ValidMs is the time in milliseconds from the grant's arrival.
	ValidMs int64 `json:"validMs"`
	// ValidUntilMs is the same end in Unix milliseconds; the earlier one applies.
	// A target that resumes after a freeze reads old grants from its connections,
	// and their time must not start only then.
	ValidUntilMs int64 `json:"validUntilMs"`
	// Incarnation is that of the member that issues the grant.
	Incarnation uint64 `json:"fence"`
}

// RunGrants renews the grant of a target that checks fences. It blocks until ctx
// ends.
func (g *Gate) RunGrants(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.grantRequests:
		}
		if t := g.target.Load(); t != nil && t.ChecksFences {
			g.grant(ctx, t)
		}
	}
}

// requestGrant makes RunGrants send a grant at once. It does not block.
func (g *Gate) requestGrant() {
	select {
	case g.grantRequests <- struct{}{}:
	default:
	}
}

// grant sends the target a grant for the remaining lease, less grantMargin. It
// blocks up to grantTimeout. A failure is only logged, because RunGrants sends the
// next grant soon.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10)) // allows reuse of the connection
	_ = resp.Body.Close()                                        // the rest of the body is not needed
}
