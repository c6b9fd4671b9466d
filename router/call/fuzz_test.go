package call_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/call"
)

// FuzzHop guards against a request that changes on the way from ingress to gate
// (service, key, path, query or deadline), and against callers that set headers
// reserved for the system. The input is the caller's raw request head.
func FuzzHop(f *testing.F) {
	f.Add("GET /a%2Fb/../c?x=%2F HTTP/1.1\r\nHost: x\r\nBq-Key: k\r\nConnection: X-A\r\nX-A: 1\r\n\r\n", "plain")
	f.Add("POST /p HTTP/1.1\r\nHost: x\r\nBq-Key: k\r\nIdempotency-Key: i\r\nBq-Service: other\r\nBq-Issued-At: 7\r\n\r\n", "pay")
	f.Add("DELETE //x HTTP/1.1\r\nHost: x\r\nBq-Key: k\r\nBq-Timeout-Ms: 5\r\nBq-Epoch: 9\r\nBq_Unit: 9\r\n\r\n", "plain")
	doc := &config.Document{Services: []config.Service{{Name: "plain", Keyed: true}, {Name: "pay", Payments: true}}}
	f.Fuzz(func(t *testing.T, head, service string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			return
		}
		sent, refusal := call.Build(doc, call.Identity{
			Service: service, Key: r.Header.Get(call.HeaderKey), IdempotencyKey: r.Header.Get(call.HeaderIdempotencyKey),
			Path: r.URL.Path, RawPath: r.URL.RawPath,
		}, r)
		if refusal != nil || !strings.HasPrefix(r.URL.Path, "/") {
			return
		}
		sent.IsBuffered = true
		var wire bytes.Buffer
		if call.HopRequest(context.Background(), sent, "127.0.0.1:1").Write(&wire) != nil {
			return // refused by net/http before a byte is sent
		}
		hop, err := http.ReadRequest(bufio.NewReader(&wire))
		if err != nil {
			t.Fatalf("the gate cannot read the request: %v", err)
		}
		got, refusal := call.Build(doc, call.IdentityFromPeer(hop), hop)
		if refusal != nil {
			t.Fatalf("the gate refuses a request that the ingress accepted: %v", refusal)
		}
		if got.Service != sent.Service || got.Key != sent.Key || got.Hash != sent.Hash || got.Method != sent.Method || got.Query != sent.Query ||
			got.EscapedPath() != sent.EscapedPath() || got.IdempotencyKey != sent.IdempotencyKey || got.IssuedAtMs != sent.IssuedAtMs || got.Class != sent.Class {
			t.Fatalf("the gate reads %+v, the ingress sent %+v", got, sent)
		}
		if d := got.Deadline.Sub(sent.Deadline); d > time.Second {
			t.Fatalf("the deadline moved by %v", d)
		}
		target := http.Header{}
		call.CopyHeader(target, got.Header)
		for name := range target {
			if strings.HasPrefix(name, "Bq") && len(name) > 2 && (name[2] == '-' || name[2] == '_') {
				t.Fatalf("%s reaches the target", name)
			}
		}
	})
}
