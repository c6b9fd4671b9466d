package slopes

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/peer"
)

// connections is the number of idle connections that each measurement opens.
const connections = 300

// resourceUsage returns the heap and stacks in use in bytes, and the number of open
// file descriptors. It skips the test on systems without /proc/self/fd.
func resourceUsage(tb testing.TB) (heapBytes, stackBytes, files float64) {
	heapBytes = heap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Skip("this system has no /proc/self/fd")
	}
	return heapBytes, float64(m.StackInuse), float64(len(fds))
}

// connectionSlopes measure the memory and files of an idle connection of each channel
// over loopback: both ends together, without the buffers of the operating system.
func connectionSlopes() []slope {
	return []slope{
		{name: "connection/http", prepare: func(tb testing.TB) (func(), map[string]float64) {
			return nil, measureConnections(tb, openHTTP)
		}},
		{name: "connection/rpc", prepare: func(tb testing.TB) (func(), map[string]float64) {
			return nil, measureConnections(tb, openRPC)
		}},
	}
}

// rpcSlopes measure the processor time of a renewal over loopback: the lowest mean of 8
// batches of 250 calls, for both ends together, including the encoding of messages and
// the time in system calls.
func rpcSlopes() []slope {
	return []slope{{name: "rpc/renew/loaded/members=3300", prepare: func(tb testing.TB) (func(), map[string]float64) {
		c := newCluster(tb, designMembers, 0)
		leader, sent := c.leader(), c.renewal(17, true)
		server := peer.NewServer()
		server.Handle("renew", peer.Bind(func(_ context.Context, r control.Renewal) (control.RenewalReply, error) {
			reply, _ := leader.Renew(clock.At(0), c.state, r)
			return reply, nil
		}))
		dialer, l, stop := serve(tb, server)
		defer stop()
		client := peer.NewClient(dialer, nil)
		defer client.Close()
		best := time.Hour
		for range 8 {
			const calls = 250
			before := processorTime(tb)
			for range calls {
				var reply control.RenewalReply
				if err := client.Call(tb.Context(), l.Addr().String(), "renew", sent, &reply); err != nil {
					tb.Fatal(err)
				}
			}
			best = min(best, (processorTime(tb)-before)/calls)
		}
		return nil, map[string]float64{"cpu-ns": float64(best.Nanoseconds())}
	}}}
}

// processorTime returns the user and system time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// serve serves RPCs on a loopback port. It returns a dialer for it, the listener and a
// function that stops the server.
func serve(tb testing.TB, server *peer.Server) (*peer.Dialer, *peer.Listener, func()) {
	secret := []byte("a secret of more than sixteen bytes")
	ctx, cancel := context.WithCancel(tb.Context())
	l, err := peer.Listen("127.0.0.1:0", secret, nil, quietLog(), func(c net.Conn) { server.ServeConn(ctx, c) })
	if err != nil {
		tb.Fatal(err)
	}
	go l.Serve(ctx)
	return &peer.Dialer{Secret: secret}, l, cancel
}

// measureConnections returns the resources of one idle connection that open opened.
func measureConnections(tb testing.TB, open func(testing.TB, *peer.Dialer, *peer.Listener) func()) map[string]float64 {
	server := peer.NewServer()
	server.Handle("ping", peer.Bind(func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil }))
	dialer, l, stop := serve(tb, server)
	defer stop()
	heapBefore, stackBefore, filesBefore := resourceUsage(tb)
	closeAll := open(tb, dialer, l)
	defer closeAll()
	heapAfter, stackAfter, filesAfter := resourceUsage(tb)
	return map[string]float64{
		"heap-B": (heapAfter - heapBefore) / connections, "stack-B": (stackAfter - stackBefore) / connections,
		"files": (filesAfter - filesBefore) / connections,
	}
}

// openHTTP opens connections as ingress does. It sends concurrent requests that end
// only when all have arrived, so that each uses its own connection.
func openHTTP(tb testing.TB, d *peer.Dialer, l *peer.Listener) func() {
	var arrived sync.WaitGroup
	arrived.Add(connections)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Done(); arrived.Wait() })}
	go func() { _ = server.Serve(l.HTTP()) }() // ends with Close
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return d.Dial(ctx, addr, peer.ChannelHTTP)
		},
		MaxIdleConnsPerHost: connections, DisableCompression: true,
	}
	forEachConnection(tb, func() error {
		resp, err := transport.RoundTrip(request(tb, l.Addr().String()))
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body) // empty
		return resp.Body.Close()
	})
	return func() { transport.CloseIdleConnections(); _ = server.Close() }
}

func request(tb testing.TB, addr string) *http.Request {
	r, err := http.NewRequestWithContext(tb.Context(), http.MethodGet, "http://"+addr+"/", nil)
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// openRPC opens connections as members do to the control leader: one for each client.
func openRPC(tb testing.TB, d *peer.Dialer, l *peer.Listener) func() {
	clients := make(chan *peer.Client, connections)
	forEachConnection(tb, func() error {
		c := peer.NewClient(d, nil)
		clients <- c
		ctx, cancel := context.WithTimeout(tb.Context(), 20*time.Second)
		defer cancel()
		var none struct{}
		return c.Call(ctx, l.Addr().String(), "ping", none, &none)
	})
	return func() {
		for range connections {
			(<-clients).Close()
		}
	}
}

// forEachConnection calls f once for each connection, concurrently. It pauses after each
// batch, to stay below the number of concurrent handshakes above which the listener
// closes connections (256).
func forEachConnection(tb testing.TB, f func() error) {
	const batchSize = 20
	var wg sync.WaitGroup
	errs := make(chan error, connections)
	for i := range connections {
		wg.Go(func() { errs <- f() })
		if i%batchSize == batchSize-1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	wg.Wait()
	for range connections {
		if err := <-errs; err != nil {
			tb.Fatal(err)
		}
	}
}
