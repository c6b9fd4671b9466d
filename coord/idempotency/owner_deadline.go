package idempotency

import (
	"slices"

	"bramleyquay.example/coord/outcome"
)

// expireCalls ends the requests whose deadline has passed, and from ReplyMargin
// before the deadline those whose response is known. A dispatched primary request
// is left to the process, which ends it with its result.
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
	e := c.execution
	if e != nil && e.phase == finishing {
		// The response is valid although a copy has not acknowledged it yet. The
		// writes continue, so that a retry finds it.
		o.replyAll(e)
		return
	}
	if !passed(o.now, c.req.Deadline) {
		return
	}
	switch {
	case e == nil:
		o.stopWaiting(c)
		o.refuse(c, outcome.NewNotRun(outcome.ReasonOwnerRecovering, "the unit's records were not read in time"))
	case e.primary != c:
		e.waiters = slices.DeleteFunc(e.waiters, func(w *call) bool { return w == c })
		o.refuse(c, outcome.NewUnknown(outcome.ReasonInProgress, "an earlier try with this key is in progress"))
	case e.phase == starting:
		o.refuse(c, outcome.NewNotRun(outcome.ReasonNoRecordCopies, "a record copy did not acknowledge in time"))
		o.replacePrimary(e)
	}
}
