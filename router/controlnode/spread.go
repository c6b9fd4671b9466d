package controlnode

import (
	"context"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/timesource"
)

// Spread says how far a revision of the document has come.
type Spread struct {
	Revision uint64
	// Took is the time from the leader's application of the document until
	// every member reported it, or the time passed so far.
	Took       time.Duration
	Everywhere bool
}

// spread follows the newest document on the leader.
type spread struct {
	revision uint64
	from     clock.Reading
	took     time.Duration
	done     bool
}

// start begins to follow a revision. A new leader starts anew with the one it
// finds.
func (s *spread) start(revision uint64, now clock.Reading) {
	if revision != s.revision {
		*s = spread{revision: revision, from: now}
	}
}

// review looks whether every member has the newest document.
func (n *Node) reviewSpread(now clock.Reading) {
	revision, _, _ := n.state.Config()
	n.spread.start(revision, now)
	if n.spread.done || revision == 0 {
		return
	}
	for _, m := range n.controller.Status(now, n.state).Members {
		if m.State != control.Lost && m.ConfigRevision < revision {
			return
		}
	}
	n.spread.done, n.spread.took = true, now.MonoSince(n.spread.from)
}

// Spread returns how far the newest document has come; the zero value on
// replicas that do not lead.
func (n *Node) Spread(ctx context.Context) (Spread, error) {
	var out Spread
	err := n.do(ctx, func() {
		if !n.leading {
			return
		}
		now := timesource.Now()
		n.reviewSpread(now)
		out = Spread{Revision: n.spread.revision, Took: n.spread.took, Everywhere: n.spread.done}
		if !out.Everywhere {
			out.Took = now.MonoSince(n.spread.from)
		}
	})
	return out, err
}
