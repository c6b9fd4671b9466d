package gate_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/memory/heappeak"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// Guards against the answer to a grant that fills the memory of the process because its
// head has no end.
func TestAnswerToGrantWithoutEnd(t *testing.T) {
	const maxGrowth = 16 << 20 // as in package httpclient
	is := is.New(t)
	var grants atomic.Int64
	part := []byte(strings.Repeat("A: "+strings.Repeat("x", 60)+"\r\n", 64))
	address := responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		grants.Add(1)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = conn.Write(part)
		}
	})
	fx := newFixture(t, 1)
	is.Equal(fx.gate.Announce(gate.Announcement{Service: "keyed", Address: address, Slots: 1, ChecksFences: true, Incarnation: 6}), "")
	growth := heappeak.Measure(time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go fx.gate.RunGrants(ctx)
	for end := time.Now().Add(3 * time.Second); grants.Load() < 5 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	grown := growth()
	is.True(grants.Load() >= 5)
	t.Logf("grew by %d KiB", grown>>10)
	is.True(grown < maxGrowth)
}
