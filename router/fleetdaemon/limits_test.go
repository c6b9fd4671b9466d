package fleetdaemon_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests within the limits for callers that the gate of another process
// rejects for their size, because of its own limits or of the headers that the ingress
// adds: nothing says then whether they ran.
func TestLargeHeaderOverHop(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.apply(document(1))
	via, at := c.addMember("k", "keyed"), c.addMember("p", "plain")
	await(t, "service", func() bool {
		status, _, _ := via.call("GET", "/safe/x", "w", nil)
		return status == 200
	})
	send := func(size int) int {
		status, _, _ := via.call("GET", "/safe/x", fmt.Sprint("size", size), map[string]string{"X-Long": strings.Repeat("x", size)})
		return status
	}
	is.Equal(send(64<<10-180), 200) // a little below the default limit
	is.Equal(send(64<<10), 431)
	d := document(2)
	d.Limits.HeaderBytes = 100 << 10
	c.apply(d)
	await(t, "new document", func() bool { return via.Agent().View().Version() == 2 && at.Agent().View().Version() == 2 })
	is.Equal(send(90<<10), 200)
}
