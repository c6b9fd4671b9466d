package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// maxFlows bounds the flows that are told apart within a priority. Further ones share
// one flow.
const maxFlows = 1024

// fairShares keeps the virtual time of start-time fair queueing for the flows of one
// priority. It counts service time divided by weight.
type fairShares struct {
	// virtualTime is the start tag that the flow furthest behind has reached.
	virtualTime time.Duration
	flows       map[string]flowUse
}

// flowUse is what the started requests of a flow have used.
type flowUse struct {
	// next is the start tag of the next request. It is virtualTime if that is later.
	next time.Duration
	// load is the part of the target that the requests started recently use, at lastStart.
	load      float64
	lastStart time.Duration
}

// loadAt returns the part of the target that a flow uses.
func (f flowUse) loadAt(now clock.Reading) float64 {
	return f.load * math.Exp(-float64(now.Mono-f.lastStart)/float64(usageTimeConstant))
}

// startTag returns the start tag of the next request of a flow.
func (s *fairShares) startTag(flow string) time.Duration {
	return max(s.flows[flow].next, s.virtualTime)
}

// admitFlow returns the name under which a flow is counted.
func (s *fairShares) admitFlow(flow string) string {
	if _, known := s.flows[flow]; known || len(s.flows) < maxFlows {
		return flow
	}
	for name, f := range s.flows {
		if f.next <= s.virtualTime {
			delete(s.flows, name)
		}
	}
	if len(s.flows) < maxFlows {
		return flow
	}
	return ""
}

// shareWait returns the expected wait of a request of a flow above its share, with the
// given work of the flow ahead of it: the flow gets what it has got recently, or an equal
// share if that is more. Requests of other flows come first, also those that arrive
// later.
func (q *Queue) shareWait(now clock.Reading, r *Request, flowWork time.Duration) time.Duration {
	s := q.sharesOf(r.Priority)
	part := max(s.flows[r.Flow].loadAt(now), 1/float64(max(len(s.flows), 1)))
	return time.Duration(float64(flowWork) / float64(max(q.cfg.Slots, 1)) / part)
}

// sharesOf returns the shares of a priority.
func (q *Queue) sharesOf(priority int) *fairShares {
	s := q.shares[priority]
	if s == nil {
		s = &fairShares{flows: map[string]flowUse{}}
		q.shares[priority] = s
	}
	return s
}

// cost returns what a request adds to the start tag of its flow.
func (q *Queue) cost(r *Request) time.Duration {
	if r.Weight <= 0 {
		return q.serviceTime(r.ServiceTimeGroup)
	}
	return time.Duration(float64(q.serviceTime(r.ServiceTimeGroup)) / r.Weight)
}

// countStart charges the flow of a request that starts, which no longer waits.
func (q *Queue) countStart(now clock.Reading, r *Request) {
	s := q.sharesOf(r.Priority)
	flow := s.admitFlow(r.Flow)
	tag := s.startTag(flow)
	load := s.flows[flow].loadAt(now) + float64(q.capacityUsed(q.serviceTime(r.ServiceTimeGroup)))/float64(usageTimeConstant)
	s.flows[flow] = flowUse{next: tag + q.cost(r), load: load, lastStart: now.Mono}
	for i := range q.waiting {
		if w := &q.waiting[i]; w.Priority == r.Priority {
			tag = min(tag, s.startTag(w.Flow))
		}
	}
	s.virtualTime = max(s.virtualTime, tag)
}

// updateShares sets by how much each waiting request is above the share of its flow.
// While there is room for all requests, none is.
func (q *Queue) updateShares(now clock.Reading) {
	for i := range q.waiting {
		q.waiting[i].aboveShare = 0
	}
	if len(q.waiting) < 2 || q.groupLoad(now) <= contendedLoad {
		return
	}
	order := make([]*Request, 0, len(q.waiting))
	for i := range q.waiting {
		order = append(order, &q.waiting[i])
	}
	slices.SortStableFunc(order, func(a, b *Request) int {
		return cmp.Compare(a.Objective, b.Objective)
	})
	type flow struct {
		priority int
		name     string
	}
	waiting := map[flow]time.Duration{}
	width := max(2*q.usage.meanServiceTime, minShareStep)
	for _, r := range order {
		s := q.sharesOf(r.Priority)
		f := flow{r.Priority, r.Flow}
		r.aboveShare = int((s.startTag(r.Flow) + waiting[f] - s.virtualTime) / width)
		waiting[f] += q.cost(r)
	}
}

// contendedLoad is the offered load above which there is not room for all requests. At a
// lasting load of 0.9 the recent load rarely exceeds it.
const contendedLoad = 1.1

// minShareStep is the smallest difference in service time that puts a request behind
// those of other flows.
const minShareStep = time.Millisecond

// compareShares compares two requests of the same priority by how far they are above the
// shares of their flows.
func compareShares(a, b *Request) int {
	if a.Priority != b.Priority || a.Flow == b.Flow {
		return 0
	}
	return cmp.Compare(a.aboveShare, b.aboveShare)
}

// displaced returns the index of the waiting request that a full queue refuses for the
// one at index, and the reason: the one furthest above the share of its flow among the
// lowest priority, or else the request at index itself.
func (q *Queue) displaced(now clock.Reading, index int) (refused int, reason string) {
	r := &q.waiting[index]
	last := r
	refused, reason = index, ReasonQueueFull
	for i := range q.waiting {
		w := &q.waiting[i]
		above := w.Priority == r.Priority && w.Flow != r.Flow && w.aboveShare > r.aboveShare
		if w.Priority <= r.Priority && !above || w.Priority < last.Priority || w.Priority == last.Priority && q.compare(now, w, last) <= 0 {
			continue
		}
		refused, last, reason = i, w, ReasonAboveShare
		if w.Priority > r.Priority {
			reason = ReasonGaveWay
		}
	}
	return refused, reason
}
