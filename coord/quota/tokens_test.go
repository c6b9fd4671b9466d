package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair is a leader and registered processes without faults, at rate 10/s and burst 5.
type pair struct {
	now     time.Duration
	leader  *Allocator
	holders []*Holder
}

func newPair(processes int) *pair {
	p := &pair{now: time.Second, leader: NewAllocator(DefaultConfig())}
	p.leader.Start(p.now, 1, nil)
	p.leader.SetLimits(p.now, nil)
	limits := map[string]Limit{"a": {Rate: 10, Burst: 5}}
	p.leader.SetLimits(p.now, limits)
	var registered []Registration
	for i := range processes {
		h := NewHolder(DefaultConfig(), uint64(i+1)<<32)
		h.SetLimits(p.now, limits)
		p.holders = append(p.holders, h)
		registered = append(registered, Registration{Process: Process{Address: string(rune('0' + i)), Incarnation: h.incarnation}, Index: 1})
		p.renew(i)
		p.renew(i)
	}
	p.leader.SetRegistered(registered)
	return p
}

// renew exchanges a renewal and its reply, at one moment.
func (p *pair) renew(i int) {
	if reply := p.leader.Renew(p.now, string(rune('0'+i)), p.holders[i].Report(p.now)); reply != nil {
		p.holders[i].Apply(p.now, p.now, *reply)
	}
}

// ask renews while n requests wait.
func (p *pair) ask(i, n int) {
	for range n {
		p.holders[i].Request(p.now, "a")
	}
	p.holders[i].AddWaiting("a", n)
	p.renew(i)
	p.holders[i].AddWaiting("a", -n)
}

// Guards against tokens for waiting requests that let the limit be exceeded because some
// are used later than others, and that can be used at any time.
func TestTokensForWaitingRequestsAreUsedInTime(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	use := &spending{limits: []timedLimit{{Limit: Limit{Rate: 10, Burst: 5}}}}
	p.ask(0, 5)
	p.now += quickTime
	for p.holders[0].Take(p.now, "a") {
		is.True(use.spend(p.now, 1))
	}
	for range 100 {
		p.now += 5 * time.Millisecond
		p.ask(0, 1)
		for p.holders[0].Take(p.now, "a") {
			is.True(use.spend(p.now, 1))
		}
	}
	is.True(use.used > 4)
	p.now += time.Second
	p.ask(0, 2)
	p.now += quickTime + time.Millisecond
	p.holders[0].account("a").tokens = 0
	is.True(!p.holders[0].Take(p.now, "a"))
}

// Guards against tokens that a process returns after the leader has written them off: they
// would exist twice.
func TestTokensWrittenOffAreNotReturned(t *testing.T) {
	is := is.New(t)
	p := newPair(2)
	p.ask(0, 1)
	p.now += time.Second
	p.renew(0)
	is.True(p.holders[0].account("a").tokens > 0) // a supply for later requests
	p.now += 6 * time.Second
	p.holders[0].Report(p.now) // returns the tokens, but is lost
	is.True(p.holders[0].account("a").returned > 0)
	p.now += 4 * time.Second
	p.renew(1)
	p.renew(1)
	p.ask(1, 20)
	before := p.leader.Status(p.now)[0].ReserveTokens
	is.True(before < 1)
	p.renew(0)
	p.renew(0)
	is.Equal(p.leader.Status(p.now)[0].ReserveTokens, before)
}

// Guards against requests that are charged although they ran nowhere: the token goes back
// to the process or, if it has no allotment, to the leader.
func TestRefund(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	p.ask(0, 3)
	for range 3 {
		is.True(p.holders[0].Take(p.now, "a"))
		p.holders[0].Refund(p.now, "a")
	}
	before := p.leader.Status(p.now)[0].ReserveTokens
	p.renew(0)
	is.True(p.leader.Status(p.now)[0].ReserveTokens >= before+2)
	h := NewHolder(DefaultConfig(), 1<<32)
	h.SetLimits(0, map[string]Limit{"a": {Rate: 100, Burst: 9}})
	h.account("a").bucket = bucket{Allotment: Allotment{Rate: 1, Burst: 3}, tokens: 1}
	is.True(h.Take(0, "a"))
	is.True(!h.Take(0, "a"))
	h.Refund(0, "a")
	is.True(h.Take(0, "a"))
}

// Guards against refusals that operators do not see, or see twice.
func TestRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	p.ask(0, 1)
	for range 3 {
		p.holders[0].RetryAfter(p.now, "a")
	}
	for range 3 {
		p.now += 3 * time.Second
		p.renew(0)
	}
	is.Equal(p.leader.Status(p.now)[0].Refused, uint64(3))
}

// Guards against small accounts that are refused for seconds after a change of the leader,
// because a process that ended with it does not report.
func TestSmallLimitAfterLeaderChange(t *testing.T) {
	is := is.New(t)
	p := newPair(2)
	registered := []Registration{
		{Process: Process{Address: "0", Incarnation: 1 << 32}, Index: 1},
		{Process: Process{Address: "1", Incarnation: 2 << 32}, Index: 1},
	}
	p.leader.Start(p.now, 2, registered)
	p.leader.SetLimits(p.now, map[string]Limit{"a": {Rate: 10, Burst: 5}})
	p.renew(0)
	p.renew(0)
	is.True(p.leader.Status(p.now)[0].Restricted)
	for range 10 {
		p.now += 200 * time.Millisecond
		p.ask(0, 1)
		is.True(p.holders[0].Take(p.now, "a"))
	}
	is.True(p.leader.Status(p.now)[0].Restricted)
}

// Guards against processes that together hold all tokens of a small account: requests at
// others would wait for them, and a new leader would have none to hand over.
func TestSomeTokensAreKept(t *testing.T) {
	is := is.New(t)
	p := newPair(2)
	for range 10 {
		p.now += 100 * time.Millisecond
		p.ask(0, 5)
	}
	for range 5 {
		p.now += 200 * time.Millisecond
		p.renew(0)
	}
	is.Equal(p.leader.Status(p.now)[0].AllottedBurst, 1.0) // for the next request
	for range 10 {
		p.ask(1, 4) // more than there are
		p.now += 300 * time.Millisecond
		p.renew(1)
		is.True(p.leader.Status(p.now)[0].AllottedBurst <= 5-quickPart(Limit{Rate: 10})-2)
	}
}

// Guards against a new leader that extends allotments above a limit that was lowered since,
// while it waits for the reports of other processes.
func TestNewLeaderLowersAllotments(t *testing.T) {
	is := is.New(t)
	p := newPair(2)
	p.ask(0, 1)
	p.holders[0].account("a").allotted = Allotment{Rate: 8, Burst: 4}
	p.leader.Start(p.now, 2, []Registration{
		{Process: Process{Address: "0", Incarnation: 1 << 32}, Index: 1}, {Process: Process{Address: "1", Incarnation: 2 << 32}, Index: 1},
	})
	p.leader.SetLimits(p.now, map[string]Limit{"a": {Rate: 5, Burst: 2}})
	p.renew(0)
	p.renew(0)
	is.True(p.leader.Status(p.now)[0].Restricted)
	is.Equal(p.holders[0].account("a").allotted, Allotment{Rate: 5, Burst: 2})
}
