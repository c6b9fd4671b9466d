package controlnode

import (
	"context"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/timesource"
)

// ConfigPropagation says how far a revision of the document has come.
type ConfigPropagation struct {
	Revision uint64
	// Elapsed is the time from the leader's application of the document until
	// every member reported it, or the time passed so far.
	Elapsed  time.Duration
	Complete bool
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
func (n *Replica) reviewSpread(now clock.Reading) {
	revision, _, _ := n.state.Document()
	n.spread.start(revision, now)
	if n.spread.done || revision == 0 {
		return
	}
	for _, m := range n.controller.Status(now, n.state).Members {
		if m.State != control.MemberLost && m.ConfigRevision < revision {
			return
		}
	}
	n.spread.done, n.spread.took = true, now.MonoSince(n.spread.from)
}

// Propagation returns how far the newest document has come; the zero value on
// replicas that do not lead.
func (n *Replica) Propagation(ctx context.Context) (ConfigPropagation, error) {
	var out ConfigPropagation
	err := n.do(ctx, func() {
		if !n.leading {
			return
		}
		now := timesource.Now()
		n.reviewSpread(now)
		out = ConfigPropagation{Revision: n.spread.revision, Elapsed: n.spread.took, Complete: n.spread.done}
		if !out.Complete {
			out.Elapsed = now.MonoSince(n.spread.from)
		}
	})
	return out, err
}
