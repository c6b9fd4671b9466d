package fleetdaemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer 504 or 502 to a request that has waited at the gate of another
// process until its deadline and has reached no target.
func TestRefusalAtDeadlineIsInTime(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	release, running := make(chan struct{}), sync.WaitGroup{}
	defer running.Wait()
	defer close(release)
	for _, k := range keyed {
		k.behave = func(_ http.ResponseWriter, _ *http.Request) bool {
			<-release
			return false
		}
	}
	key := map[string]string{"X-Key": "7", "X-Deadline-Ms": "20000"}
	for i := range 4 { // all slots
		running.Go(func() { plain[0].call("GET", "/keyed/x", fmt.Sprint("long", i), key) })
	}
	await(t, "work in all slots", func() bool {
		n := 0
		for i := range 4 {
			n += keyed[0].count(fmt.Sprint("long", i)) + keyed[1].count(fmt.Sprint("long", i))
		}
		return n == 4
	})
	for i := range 5 {
		id := fmt.Sprint("late", i)
		start := time.Now()
		status, body, _ := plain[0].call("GET", "/keyed/x", id, map[string]string{"X-Key": "7", "X-Deadline-Ms": "500"})
		t.Log(status, body, time.Since(start))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(keyed[0].count(id)+keyed[1].count(id), 0)
	}
}
