package ingress_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes behind the answer to one request that reach the next caller as the
// answer to its request.
func TestBytesBehindAnswer(t *testing.T) {
	target := &rawTarget{keepOpen: true, answer: func(_ int64, r *http.Request) string {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return answer + answer
	}}
	fx := newFixture(t, "plain", target.listen(t))
	fx.throughBoth(t, func(t *testing.T, base string) {
		const callers, requests = 16, 250
		var foreign atomic.Int64
		var running sync.WaitGroup
		for c := range callers {
			running.Go(func() {
				for i := range requests {
					path := fmt.Sprintf("/%d-%d", c, i)
					resp, body, err := do(t, http.MethodPost, base+"/plain"+path, []byte("b"))
					if err == nil && resp.StatusCode == http.StatusOK && string(body) != path {
						foreign.Add(1)
					}
				}
			})
		}
		running.Wait()
		is.New(t).Equal(foreign.Load(), int64(0))
	})
}
