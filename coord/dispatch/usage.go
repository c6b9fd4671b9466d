package dispatch

import (
	"math"
	"time"
)

const (
	// usagePeriod is the time constant of the busy share: long against one
	// service time, short against a change of the traffic.
	usagePeriod = 2 * time.Second
	// usageShare is the weight of the newest service time in the mean, which
	// must not follow the moments in which a target is slow.
	usageShare = 0.03
)

// usage measures how busy a target is and how fast.
type usage struct {
	at   time.Duration
	busy float64
	mean time.Duration
	// pressure is the recent work that arrived, relative to the slots.
	pressure float64
}

// pass lets the time until now pass with a number of running requests.
func (u *usage) pass(now time.Duration, running, slots int) {
	if now <= u.at {
		return
	}
	keep := math.Exp(-float64(now-u.at) / float64(usagePeriod))
	u.pressure *= keep
	u.busy = u.busy*keep + (1-keep)*float64(running)/float64(max(slots, 1))
	u.at = now
}

func (u *usage) ended(serviceTime time.Duration) {
	if u.mean == 0 {
		u.mean = serviceTime
	}
	u.mean += time.Duration(usageShare * float64(serviceTime-u.mean))
}

// arrived counts a request's expected service time.
func (u *usage) arrived(work time.Duration, slots int) {
	u.pressure += float64(work) / float64(usagePeriod) / float64(max(slots, 1))
}
