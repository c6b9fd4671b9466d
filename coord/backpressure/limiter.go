// Package backpressure bounds how many requests of a route run at a target at the same
// time while the calls that these runs make are refused for lack of room: a run whose
// call fails has used the target for nothing. It is used by the process beside the
// target, which sees both the runs and the target's calls.
package backpressure

import "time"

// Config configures a Limiter.
type Config struct {
	// WastedShare is the share of wasted runs of a route above which fewer of them run
	// at the same time.
	WastedShare float64
	// Decrease is the factor by which the bound is lowered, Increase what is added to
	// it after each interval without a reason to lower it.
	Decrease, Increase float64
	// MinInterval is the shortest time between two changes of a bound. It is longer if
	// fewer than MinRuns runs of the route have ended.
	MinInterval time.Duration
	MinRuns     int
}

// DefaultConfig returns the default configuration, for runs of some hundred
// milliseconds.
func DefaultConfig() Config {
	return Config{WastedShare: 0.05, Decrease: 0.8, Increase: 1, MinInterval: 500 * time.Millisecond, MinRuns: 4}
}

// Limiter learns from the runs and calls of one target. Times are on the monotonic
// clock. It is not safe for concurrent use.
type Limiter struct {
	cfg    Config
	runs   map[uint64]*run
	routes map[string]*route
	calls  map[string]*callRoute
}

// run is a request that the target is running.
type run struct {
	id    string
	route string
	// lackedRoom says that one of its calls may have been refused for lack of room.
	lackedRoom bool
}

// route is the state of the runs of one route.
type route struct {
	running int
	// limit bounds the runs at the same time. Zero means no bound.
	limit float64
	// intervalStart is the time of the last change of the bound. The other fields count
	// since then: ended and failed the runs, lackedRoom the calls refused for lack of
	// room, peak the largest number of runs at the same time.
	intervalStart time.Duration
	ended, failed int
	lackedRoom    float64
	peak          int
}

// New returns a limiter without bounds.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, runs: map[uint64]*run{}, routes: map[string]*route{}, calls: map[string]*callRoute{}}
}

// RunStarted records that the target gets a request. number is unique among the runs,
// id is the request's id.
func (l *Limiter) RunStarted(now time.Duration, number uint64, id, routeName string) {
	r := l.routes[routeName]
	if r == nil {
		r = &route{intervalStart: now}
		l.routes[routeName] = r
	}
	if r.running == 0 && now-r.intervalStart > idleReset {
		r.limit, r.intervalStart, r.ended, r.failed, r.lackedRoom = 0, now, 0, 0, 0
	}
	r.running++
	r.peak = max(r.peak, r.running)
	l.runs[number] = &run{id: id, route: routeName}
}

// RunEnded records the end of a run. failed says that the caller did not get a useful
// answer: an answer of the target with a status of 500 or higher, or none before the
// deadline. It returns whether the run failed for lack of room at a called service.
func (l *Limiter) RunEnded(now time.Duration, number uint64, failed bool) (wasted bool) {
	ended := l.runs[number]
	if ended == nil {
		return false
	}
	delete(l.runs, number)
	r := l.routes[ended.route]
	r.running--
	r.ended++
	if failed {
		r.failed++
	}
	l.adjust(now, r)
	return failed && ended.lackedRoom
}

// adjust changes the bound of a route at the end of an interval. The bound is removed
// once it has not been reached.
func (l *Limiter) adjust(now time.Duration, r *route) {
	if r.ended < l.cfg.MinRuns || now-r.intervalStart < l.cfg.MinInterval {
		return
	}
	// A failed run may have other causes, and a refused call may be no call of these runs.
	wasted := min(float64(r.failed), r.lackedRoom)
	switch {
	case wasted > l.cfg.WastedShare*float64(r.ended):
		if r.limit == 0 {
			r.limit = float64(r.peak)
		}
		r.limit = max(r.limit*l.cfg.Decrease, 1)
	case r.limit > 0 && float64(r.peak) < r.limit-1:
		r.limit = 0
	case r.limit > 0:
		r.limit += l.cfg.Increase
	}
	r.intervalStart, r.ended, r.failed, r.lackedRoom, r.peak = now, 0, 0, 0, r.running
}

// idleReset is the time since the last interval after which the first run of a route
// removes its bound: the room at the called services is not known any more.
const idleReset = 10 * time.Second

// Limit returns the bound on the runs of a route at the same time, zero without one.
func (l *Limiter) Limit(routeName string) int {
	r := l.routes[routeName]
	if r == nil {
		return 0
	}
	return int(r.limit)
}
