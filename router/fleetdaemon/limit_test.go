package fleetdaemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startTimes are the arrivals of requests at a target.
type startTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *startTimes) record() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
}

// most returns the largest number of arrivals after from within a window.
func (s *startTimes) most(from time.Time, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, first := range s.times {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, t := range s.times[i:] {
			if t.Before(first.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// callConcurrently sends requests from several callers to each process for a time.
func callConcurrently(via []*target, path string, duration time.Duration) {
	var callers sync.WaitGroup
	var n atomic.Int64
	end := time.Now().Add(duration)
	for _, p := range via {
		for range 4 {
			callers.Go(func() {
				for time.Now().Before(end) {
					p.call("GET", path, fmt.Sprint("load", n.Add(1)), nil)
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
}

// Guards against more requests at a target than the limit that its answers name, over
// all processes, and against a limit that outlasts the answers that name it.
func TestNamedLimitIsKept(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	const perSecond = 5
	var arrivals [2]startTimes
	var limited atomic.Bool
	limited.Store(true)
	for i, p := range plain {
		p.behave = func(w http.ResponseWriter, _ *http.Request) bool {
			arrivals[i].record()
			if limited.Load() {
				w.Header().Set("X-Limit", fmt.Sprintf("%d.0", perSecond))
			}
			return false
		}
	}
	callers := []*target{plain[0], plain[1], keyed[0], keyed[1]}
	named := time.Now()
	callConcurrently(callers, "/safe/x", 6*time.Second)
	for i := range arrivals {
		most := arrivals[i].most(named.Add(time.Second), 4*time.Second)
		is.True(most <= perSecond*4*3/2+5)
		is.True(most >= perSecond*4/2) // the target is not starved either
	}
	limited.Store(false)
	await(t, "end of the limit", func() bool {
		from := time.Now()
		callConcurrently(callers, "/safe/x", time.Second)
		return arrivals[0].most(from, time.Second) > 4*perSecond
	})
}
