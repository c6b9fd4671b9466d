package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
)

// fakeQuota counts the calls and refuses if after is set.
type fakeQuota struct {
	after, wait     time.Duration
	taken, refunded int
}

func (q *fakeQuota) TakeQuota(_ context.Context, _ string, maxWait time.Duration) (bool, time.Duration) {
	q.taken, q.wait = q.taken+1, maxWait
	return q.after == 0, q.after
}

func (q *fakeQuota) RefundQuota(string) { q.refunded++ }

// Guards against requests that take more or less than one of their account's limit, or
// wait too long for it; against a refund of a request that may have run, and none of one
// that did not; and against advice to retry before a token is free. There is no target,
// so that requests do not run unless the case says that they may have.
func TestQuota(t *testing.T) {
	limited := &routes.Account{Name: "limited", Rate: 5}
	logs := logging.New(io.Discard, "error", false)
	for name, c := range map[string]struct {
		account    *routes.Account
		objective  time.Duration
		after      time.Duration
		mayHaveRun bool
		want       fakeQuota
		status     int
		retryAfter string
	}{
		"no account":      {nil, time.Second, 0, false, fakeQuota{}, 503, "0.300"},
		"no limit":        {&routes.Account{Name: "free"}, time.Second, 0, false, fakeQuota{}, 503, "0.300"},
		"limit":           {limited, time.Second, 0, false, fakeQuota{taken: 1, refunded: 1, wait: 150 * time.Millisecond}, 503, "0.300"},
		"short objective": {limited, 200 * time.Millisecond, 0, false, fakeQuota{taken: 1, refunded: 1, wait: 50 * time.Millisecond}, 503, "0.300"},
		"may have run":    {limited, time.Second, 0, true, fakeQuota{taken: 1, wait: 150 * time.Millisecond}, 502, ""},
		"over the limit":  {limited, time.Second, 1234567 * time.Microsecond, false, fakeQuota{taken: 1, wait: 150 * time.Millisecond, after: 1234567 * time.Microsecond}, 429, "1.235"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			agent := fleetagent.New(fleetagent.Config{Process: "p", AnnounceInterval: time.Second}, leaderclient.New(nil, nil), logging.ForComponent(logs, "member"))
			in := NewIngress(IngressConfig{Names: DefaultHeaderNames}, agent, nil, logging.ForComponent(logs, "ingress"))
			q, now := &fakeQuota{after: c.after}, time.Now()
			in.quota = q
			req := &routedRequest{id: "i", service: "s", request: &httpserver.Request{Received: now}, objective: now.Add(c.objective), deadline: now.Add(5 * time.Second)}
			st := &requestState{request: req, view: agent.View(), route: &routes.Route{}, account: c.account, mayHaveRun: c.mayHaveRun}
			resp := in.execute(t.Context(), st)
			is.Equal([]string{resp.Header.Get("Retry-After"), resp.Header.Get("Bq-Request-Id")}, []string{c.retryAfter, "i"})
			is.Equal(resp.Status, c.status)
			is.Equal(*q, c.want)
			is.Equal(st.last.reason == reasonOverQuota, c.status == http.StatusTooManyRequests)
		})
	}
}

// Guards against counters of accounts that stay after the accounts are removed, so that
// changes of the document take memory without end, and against wrong results.
func TestAccountCounters(t *testing.T) {
	is := is.New(t)
	has := func(account, result string) bool {
		var buf bytes.Buffer
		metrics.WritePrometheus(&buf, false)
		return strings.Contains(buf.String(), `bramleyquay_account_requests{account="`+account+`",result="`+result+`"} 1`)
	}
	table := func(version uint64, names ...string) *routes.Table {
		d := &routes.Document{Version: version}
		for _, n := range names {
			d.Accounts = append(d.Accounts, routes.Account{Name: n})
		}
		return routes.NewTable(d)
	}
	var c accountCounters
	first := table(1, "stays", `le"aves`)
	c.setTable(first)
	for _, result := range accountResults {
		c.count("stays", result)
		c.count(`le"aves`, result)
		is.True(has("stays", result) && has(`le\"aves`, result))
	}
	c.setTable(table(2, "stays"))
	c.setTable(first) // of a request that started before
	c.count(`le"aves`, resultAdmitted)
	for _, result := range accountResults {
		is.True(has("stays", result) && !has(`le\"aves`, result))
	}
	c.setTable(table(3))
	is.True(!has("stays", resultAdmitted))
}

// waitingQuota waits until the context of the request ends, as for a first allotment.
type waitingQuota struct{ fakeQuota }

func (q *waitingQuota) TakeQuota(ctx context.Context, _ string, _ time.Duration) (bool, time.Duration) {
	<-ctx.Done()
	return false, 0
}

// Guards against requests that are told that their account is over its limit, and counted
// so, although the process stops or their deadline passes before that is known.
func TestRequestEndsWhileWaitingForQuota(t *testing.T) {
	logs := logging.New(io.Discard, "error", false)
	for name, c := range map[string]struct {
		cause  error
		reason string
	}{"process stops": {httpserver.ErrStopping, reasonStopping}, "deadline passes": {nil, reasonCallerLeft}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			agent := fleetagent.New(fleetagent.Config{Process: "p", AnnounceInterval: time.Second}, leaderclient.New(nil, nil), logging.ForComponent(logs, "member"))
			in := NewIngress(IngressConfig{Names: DefaultHeaderNames}, agent, nil, logging.ForComponent(logs, "ingress"))
			q, now := &waitingQuota{}, time.Now()
			in.quota = q
			table := routes.NewTable(&routes.Document{Version: 1, Accounts: []routes.Account{{Name: name, Rate: 5}}})
			in.accounts.setTable(table)
			req := &routedRequest{id: "i", service: "s", request: &httpserver.Request{Received: now}, objective: now.Add(time.Second), deadline: now.Add(20 * time.Millisecond)}
			st := &requestState{request: req, view: agent.View(), route: &routes.Route{}, account: table.Account(name)}
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if c.cause != nil {
				cancel(c.cause)
			}
			resp := in.execute(ctx, st)
			is.Equal(resp.Status, http.StatusServiceUnavailable)
			is.Equal(st.last.reason, c.reason)
			is.Equal(q.refunded, 0)
			var buf bytes.Buffer
			metrics.WritePrometheus(&buf, false)
			is.True(!strings.Contains(buf.String(), `account="`+name+`"`))
		})
	}
}
