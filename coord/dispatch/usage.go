package dispatch

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant of the moving averages of the
	// utilization and the offered load: long compared with one service time,
	// short compared with changes of the traffic.
	usageTimeConstant = 2 * time.Second
	// meanWeight is the weight of the newest service time in the mean. It is small,
	// so that short slow phases of a target hardly change the mean.
	meanWeight = 0.03
)

// usage measures the utilization, speed and offered load of a target.
type usage struct {
	updated time.Duration // monotonic time of the last advance
	// utilization is the recent fraction of the slots in use.
	utilization     float64
	meanServiceTime time.Duration
	// offeredLoad is the work that recently arrived, relative to what the target can
	// do.
	offeredLoad float64
}

// advance updates the averages for the time since the last call, in which the
// given number of requests was running.
func (u *usage) advance(now time.Duration, running, slots int) {
	if now <= u.updated {
		return
	}
	decay := math.Exp(-float64(now-u.updated) / float64(usageTimeConstant))
	u.offeredLoad *= decay
	u.utilization = u.utilization*decay + (1-decay)*float64(running)/float64(max(slots, 1))
	u.updated = now
}

// requestEnded adds a service time to the mean.
func (u *usage) requestEnded(serviceTime time.Duration) {
	if u.meanServiceTime == 0 {
		u.meanServiceTime = serviceTime
	}
	u.meanServiceTime += time.Duration(meanWeight * float64(serviceTime-u.meanServiceTime))
}

// requestArrived adds a request to the offered load that is expected to use the whole
// target for a time.
func (u *usage) requestArrived(use time.Duration) {
	u.offeredLoad += float64(use) / float64(usageTimeConstant)
}
