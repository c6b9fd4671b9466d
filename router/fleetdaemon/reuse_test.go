package fleetdaemon_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that run at a target of another service which got the address
// of one that has ended, before its sidecar process knows of the end, and against
// callers that get its refusals.
func TestAddressUsedByAnotherService(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	ended := plain[0]
	ended.mu.Lock()
	ended.silent = true
	ended.mu.Unlock()
	_ = ended.server.Listener.Close() // ends the target
	ended.server.CloseClientConnections()
	var refused, ran atomic.Int64
	foreign := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if r.Header.Get("X-Target") != "foreign" {
			refused.Add(1)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		ran.Add(1)
	}))
	_ = foreign.Listener.Close() // replaced
	l, err := net.Listen("tcp", ended.cfg.Sidecar.Target)
	is.NoErr(err)
	foreign.Listener = l
	foreign.Start()
	t.Cleanup(foreign.Close)
	served := 0
	for i := range 20 {
		for _, request := range [][2]string{{"GET", "/safe/a"}, {"POST", "/unsafe/a"}} {
			id := fmt.Sprint(request[0], i)
			status, _, _ := ended.call(request[0], request[1], id, nil)
			// Without a retry left in the budget, which starts empty, the request is refused.
			is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
			is.Equal(plain[1].count(id) == 1, status == http.StatusOK)
			if status == http.StatusOK {
				served++
			}
		}
	}
	is.True(served >= 20)
	is.True(refused.Load() > 0)
	is.Equal(ran.Load(), int64(0))
}
