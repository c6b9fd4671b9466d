package fleet

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// targetNotices retains, for each process, what its target said about itself, so that
// a process that was restarted does not use a target that leaves, nor exceed a limit
// that the target named before. Both hold for one incarnation of the target.
type targetNotices map[string]targetNotice

type targetNotice struct {
	holder   ranges.Holder
	leaving  bool
	limit    float64 // requests per second, zero without a limit
	recorded clock.Reading
}

// noticeRetention is the time without a renewal of its process after which a notice
// is discarded. A process restarts within seconds.
const noticeRetention = time.Minute

// record updates the notice of a process by its renewal, and returns what the renewal
// does not know.
func (n targetNotices) record(now clock.Reading, r Renewal) (unknown targetNotice) {
	h := r.Member.Holder()
	if h.IsZero() {
		return targetNotice{}
	}
	t := n[h.Process]
	switch {
	case h.Incarnation < t.holder.Incarnation:
		return targetNotice{} // from a late announcement
	case t.holder != h:
		t = targetNotice{holder: h}
	}
	t.recorded = now
	if r.Member.Condition == Draining {
		t.leaving = true
	} else {
		unknown.leaving = t.leaving
	}
	if r.Limit != nil {
		t.limit = *r.Limit
	} else {
		unknown.limit = t.limit
	}
	n[h.Process] = t
	return unknown
}

// prune discards old notices.
func (n targetNotices) prune(now clock.Reading) {
	for process, t := range n {
		if now.MonoSince(t.recorded) > noticeRetention {
			delete(n, process)
		}
	}
}
