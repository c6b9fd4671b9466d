package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
)

// counter is a writer that counts the bytes written to it.
type counter struct{ n atomic.Int64 }

func (c *counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkRequestLines measures the cost of the two log lines and the metrics of
// a served request, for docs/OPERATIONS.md.
func BenchmarkRequestLines(b *testing.B) {
	out := &counter{}
	logs := logging.New(out, "info", false)
	agent := fleetagent.New(fleetagent.Config{Process: "10.1.0.35:7100", Service: "seats", AnnounceInterval: time.Second}, leaderclient.New(nil, nil), logging.ForComponent(logs, "member"))
	gate := &Gate{agent: agent, log: logging.ForComponent(logs, "gate")}
	in := &Ingress{agent: agent, log: logging.ForComponent(logs, "ingress")}
	now := time.Now()
	r := &httpserver.Request{Method: "GET", Host: "seats.example", Path: "/view/12", Received: now}
	req := &routedRequest{id: "9c41d07be2a35f68", service: "seats", route: "seats", sharded: true, key: 4711, request: r, deadline: now.Add(time.Second), objective: now.Add(time.Second)}
	last := answered(200)
	last.load = &balancer.GateLoad{Running: 3, Queued: 1, Limit: 6}
	st := &requestState{request: req, view: agent.View(), process: "10.1.0.36:7100", picks: 1, reached: 1, last: last}
	resp := &httpserver.Response{Status: 200}
	b.ReportAllocs()
	for b.Loop() {
		gate.logTry(req, last)
		in.finish(r, st, resp)
	}
	b.StopTimer()
	b.ReportMetric(float64(out.n.Load())/float64(b.N), "bytes/request")
}
