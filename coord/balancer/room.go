package balancer

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// room estimates whether targets have free slots, in this data centre and in the
// others, from the recent tries that started at once or were refused. Reports of
// single targets are out of date after ReportAge, which is short compared with the
// time between two requests of a process to one target; the tries of all targets
// together show sooner that a data centre has no room.
type room struct {
	near, far refusalShare
	// roundTrip is the moving mean of the time from a try to its refusal.
	roundTrip time.Duration
}

const (
	// roomTimeConstant is the time constant with which tries are forgotten. It is
	// long compared with service times, short compared with changes of the traffic.
	roomTimeConstant = time.Second
	// minRoomTries is the number of recent tries from which a share counts in full.
	minRoomTries = 4
	// nearTolerance is the excess of refused tries in this data centre up to which no
	// request goes to another one first: answers that cross cost network traffic and
	// a longer round trip.
	nearTolerance = 0.25
	// roundTripWeight is the weight of the newest round trip in the moving mean.
	roundTripWeight = 0.1
)

// refusalShare is the share of recent tries that were refused.
type refusalShare struct {
	tries, refused float64 // decaying counts
	updated        time.Duration
}

func (s *refusalShare) decay(now time.Duration) {
	if now <= s.updated {
		return
	}
	f := math.Exp(-float64(now-s.updated) / float64(roomTimeConstant))
	s.tries, s.refused, s.updated = s.tries*f, s.refused*f, now
}

func (s *refusalShare) record(now time.Duration, refused bool) {
	s.decay(now)
	s.tries++
	if refused {
		s.refused++
	}
}

// share returns the share, lower if it rests on few tries.
func (s *refusalShare) share(now time.Duration) float64 {
	s.decay(now)
	return s.refused / max(s.tries, minRoomTries)
}

// record counts a try that started at once or was refused. took is the time until its
// end.
func (r *room) record(now time.Duration, near, refused bool, took time.Duration) {
	if refused {
		r.roundTrip += time.Duration(roundTripWeight * float64(took-r.roundTrip))
	}
	if near {
		r.near.record(now, refused)
	} else {
		r.far.record(now, refused)
	}
}

// excess returns the excess of refused tries in this data centre over those in
// others, at least zero.
func (r *room) excess(now time.Duration) float64 {
	return max(r.near.share(now)-r.far.share(now), 0)
}

// farFirst reports whether a request tries other data centres first. draw is a random
// number from 0 to 1: as many requests go there as keep the shares of refused tries
// equal up to nearTolerance. Once a request has been refused, its next try goes to
// where fewer are.
func (r *room) farFirst(now time.Duration, triedBefore bool, draw float64) bool {
	excess := r.excess(now)
	if triedBefore {
		return excess > nearTolerance
	}
	return draw < (excess-nearTolerance)/(1-nearTolerance)
}

// worthTrying reports whether another try without waiting is expected to save time, for
// a request that would wait for a slot where it was refused. On busy links a round trip
// can take longer than the wait.
func (r *room) worthTrying(now, wait time.Duration) bool {
	found := 1 - min(r.near.share(now), r.far.share(now))
	return found*float64(wait) > float64(r.roundTrip)
}

// WorthTrying reports whether a request that was refused for lack of a slot should try
// another target without waiting, rather than wait at one of those that refused it. wait
// is the expected wait there.
func (b *Balancer) WorthTrying(now clock.Reading, wait time.Duration) bool {
	return b.room.worthTrying(now.Mono, wait)
}

// IsNear reports whether a target is in the data centre of this process.
func (b *Balancer) IsNear(id table.MemberID) bool {
	s := b.byID[id]
	return s != nil && b.sameDataCentre(s)
}
