package ingress_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClosedConnectionIsNotRetriedByTransport guards against the retries of net/http,
// which sends an idempotent request again on each idle connection: a request that
// makes the target close its connection would run once for each, outside of any
// budget.
func TestClosedConnectionIsNotRetriedByTransport(t *testing.T) {
	rt := &rawTarget{answer: func(_ int64, r *http.Request) string {
		if r.URL.Path == "/break" {
			return ""
		}
		time.Sleep(30 * time.Millisecond)
		return completeAnswer
	}}
	newFixture(t, "plain", rt.listen(t)).throughBoth(t, func(t *testing.T, base string) {
		is := is.New(t)
		var wg sync.WaitGroup
		for range 8 { // opens as many connections
			wg.Go(func() { _, _, _ = do(t, http.MethodGet, base+"/plain/x", nil) })
		}
		wg.Wait()
		before := rt.requests.Load()
		resp, _, err := do(t, http.MethodGet, base+"/plain/break", nil)
		is.NoErr(err)
		is.Equal(outcomeOf(resp), "unknown")
		is.True(rt.requests.Load()-before <= 4) // the attempts of the retry policy
	})
}
