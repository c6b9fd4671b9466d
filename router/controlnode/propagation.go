package controlnode

import (
	"context"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/timesource"
)

// ConfigPropagation is the progress of a document's revision towards all
// members.
type ConfigPropagation struct {
	Revision uint64
	// Elapsed is the time from the leader's first check after it applied the
	// document, normally at most controllerInterval later, until all members
	// except lost ones have stopped using older documents, or until now if
	// Complete is not set.
	Elapsed time.Duration
	// Complete is set once all members except lost ones have stopped using older
	// documents, by their last renewals.
	Complete bool
}

// propagation measures the propagation of the newest document on the leader.
type propagation struct {
	revision uint64
	since    clock.Reading
	elapsed  time.Duration
	complete bool
}

// start starts the measurement if the revision is new. A new leader measures
// the newest revision from its first call. If it led before with the same
// revision, that measurement goes on.
func (p *propagation) start(revision uint64, now clock.Reading) {
	if revision != p.revision {
		*p = propagation{revision: revision, since: now}
	}
}

// updatePropagation checks whether every member that is not lost has the
// newest document.
func (r *Replica) updatePropagation(now clock.Reading) {
	revision, _, _ := r.state.Document()
	r.propagation.start(revision, now)
	if r.propagation.complete || revision == 0 {
		return
	}
	for _, member := range r.controller.Status(now, r.state).Members {
		if member.State != control.MemberLost && member.ConfigRevision < revision {
			return
		}
	}
	r.propagation.complete, r.propagation.elapsed = true, now.MonoSince(r.propagation.since)
}

// Propagation returns the propagation of the newest document, and the zero value
// on replicas that do not lead.
func (r *Replica) Propagation(ctx context.Context) (ConfigPropagation, error) {
	var out ConfigPropagation
	err := r.do(ctx, func() {
		if !r.leading {
			return
		}
		now := timesource.Now()
		r.updatePropagation(now)
		out = ConfigPropagation{Revision: r.propagation.revision, Elapsed: r.propagation.elapsed, Complete: r.propagation.complete}
		if !out.Complete {
			out.Elapsed = now.MonoSince(r.propagation.since)
		}
	})
	if err != nil {
		return ConfigPropagation{}, err
	}
	return out, nil
}
