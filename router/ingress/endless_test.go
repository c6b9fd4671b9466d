package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/memory/heappeak"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// Guards against bytes without end of a target that fill the memory of the process, that
// count as an answer, or that are read beyond the deadline.
func TestAnswersWithoutEnd(t *testing.T) {
	const maxGrowth = 16 << 20 // as in package httpclient
	for _, form := range responseforms.Endless() {
		for _, service := range []string{"plain", "pay"} {
			t.Run(form.Name+"/"+service, func(t *testing.T) {
				address, awaitClosed := form.Serve(t)
				fx := newFixture(t, service, address)
				fx.throughBoth(t, func(t *testing.T, base string) {
					is := is.New(t)
					growth := heappeak.Measure(5 * time.Millisecond)
					var callers sync.WaitGroup
					for i := range 4 {
						callers.Go(func() {
							begin := time.Now()
							if status, complete := discard(base+"/"+service+"/x", string(rune('a'+i))); complete && status < 500 {
								t.Errorf("counts as an answer with status %d", status)
							}
							is.True(time.Since(begin) < 5*time.Second)
						})
					}
					callers.Wait()
					grown := growth()
					t.Logf("grew by %d KiB", grown>>10)
					is.True(grown < maxGrowth)
					awaitClosed() // no connection is read any more
				})
			})
		}
	}
}

// discard sends a payment with a deadline of 1 s and reads the answer without keeping it.
func discard(url, key string) (status int, complete bool) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("b"))
	if err != nil {
		return 0, false
	}
	req.Header.Set("Bq-Timeout-Ms", "1000")
	req.Header.Set("Idempotency-Key", key+url)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }() // the read has returned all errors
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}
