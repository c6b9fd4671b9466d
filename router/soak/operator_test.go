package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/routefile"
)

// document returns a routing document; the prefix of its idle route differs in each
// version.
func document(version uint64) []byte {
	return fmt.Appendf(nil, `{"version": %d,
  "limits": {"headerBytes": 16384, "bodyBytes": 65536, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
  "routes": [
    {"name": "view", "host": "seats.example", "prefix": "/view/", "kind": "safe", "rank": 2, "objectiveMs": 500, "timeoutMs": 3000, "attempts": 2, "parts": [{"service": "seats", "weight": 1}]},
    {"name": "buy", "host": "seats.example", "prefix": "/buy/", "kind": "unsafe", "rank": 1, "objectiveMs": 500, "timeoutMs": 3000, "attempts": 2, "parts": [{"service": "seats", "weight": 1}]},
    {"name": "mail", "host": "mail.example", "prefix": "/mail/", "kind": "safe", "rank": 2, "objectiveMs": 500, "timeoutMs": 3000, "attempts": 2, "parts": [{"service": "mail", "weight": 1}]},
    {"name": "idle", "host": "idle.example", "prefix": "/%d/", "kind": "safe", "attempts": 1, "parts": [{"service": "mail", "weight": 1}]}
  ],
  "services": [{"name": "seats", "sharded": true, "maxConnections": 100}, {"name": "mail", "maxConnections": 100}]}`, version, version)
}

// apply parses a document and applies it to the base version.
func (c *cluster) apply(ctx context.Context, text []byte, base uint64) (fleet.Result, error) {
	d, findings := routefile.Parse(text)
	if len(findings) > 0 {
		c.t.Fatalf("the document has findings: %v", findings)
	}
	return c.client.Apply(ctx, d, text, base)
}

// operator changes the document in a loop and checks that reads never return an older
// version than the last one that was accepted.
type operator struct {
	c          *cluster
	accepted   uint64
	violations []string
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

const (
	// operatorPause is short, so that the document also changes during faults.
	operatorPause = 300 * time.Millisecond
	// operatorTimeout is longer than an election.
	operatorTimeout = 2 * time.Second
)

// startOperator starts to change the document, whose accepted version is given; stop
// ends it.
func startOperator(c *cluster, accepted uint64) *operator {
	ctx, cancel := context.WithCancel(context.Background())
	o := &operator{c: c, accepted: accepted, cancel: cancel}
	o.wg.Go(func() { o.run(ctx) })
	return o
}

func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		if version, ok := o.read(ctx); ok {
			o.change(ctx, version)
		}
		select {
		case <-time.After(operatorPause):
		case <-ctx.Done():
		}
	}
}

// read returns the version that the control group reports, or false if the read
// failed; a failed read is no violation.
func (o *operator) read(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	_, version, err := o.c.client.Document(ctx)
	if err != nil {
		return 0, false
	}
	if version < o.accepted {
		o.violations = append(o.violations, fmt.Sprintf("version %d was read after version %d was accepted", version, o.accepted))
	}
	return version, true
}

// change applies the version after base.
func (o *operator) change(ctx context.Context, base uint64) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	result, err := o.c.apply(ctx, document(base+1), base)
	if err != nil {
		return // it may have been applied or not
	}
	if result.Status == fleet.Accepted {
		o.accepted = max(o.accepted, base+1)
	}
}

// stop ends the operator and returns the last version that was accepted and the
// violations.
func (o *operator) stop() (uint64, []string) {
	o.cancel()
	o.wg.Wait()
	return o.accepted, o.violations
}
