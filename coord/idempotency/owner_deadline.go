package idempotency

import (
	"slices"

	"bramleyquay.example/coord/outcome"
)

// expireCalls ends the requests whose deadline has passed.
func (o *Owner) expireCalls() {
	for {
		id, ok := o.timers.pop(o.now)
		if !ok {
			return
		}
		if c := o.calls[id]; c != nil {
			o.expireCall(c)
		}
	}
}

func (o *Owner) expireCall(c *call) {
	r := c.run
	if r != nil && r.phase == finishing {
		// The answer is true although a copy does not hold it yet. Writing
		// goes on, so that a repeat finds it.
		o.replyAll(r)
		return
	}
	if !passed(o.now, c.req.Deadline) {
		return
	}
	switch {
	case r == nil:
		o.stopWaiting(c)
		o.refuse(c, outcome.NewNotRun(outcome.ReasonOwnerRecovering, "the unit's records were not read in time"))
	case r.runner != c:
		r.waiters = slices.DeleteFunc(r.waiters, func(w *call) bool { return w == c })
		o.refuse(c, outcome.NewUnknown(outcome.ReasonInProgress, "an earlier try with this key is in progress"))
	case r.phase == starting:
		o.refuse(c, outcome.NewNotRun(outcome.ReasonNoRecordCopies, "a record copy did not acknowledge in time"))
		o.giveUp(r)
	}
}
