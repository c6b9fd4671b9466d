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

// fakeQuota records the calls and refuses if after is set.
type fakeQuota struct {
	after           time.Duration
	taken, refunded []string
	waits           []time.Duration
}

func (q *fakeQuota) TakeQuota(_ context.Context, account string, maxWait time.Duration) (bool, time.Duration) {
	q.taken, q.waits = append(q.taken, account), append(q.waits, maxWait)
	return q.after == 0, q.after
}

func (q *fakeQuota) RefundQuota(account string) { q.refunded = append(q.refunded, account) }

// quotaIngress returns an ingress without targets and a request of an account.
func quotaIngress(q *fakeQuota, account *routes.Account, objective time.Duration) (*Ingress, *requestState) {
	logs := logging.New(io.Discard, "error", false)
	agent := fleetagent.New(fleetagent.Config{Process: "p", AnnounceInterval: time.Second}, leaderclient.New(nil, nil), logging.ForComponent(logs, "member"))
	in := NewIngress(IngressConfig{Names: DefaultHeaderNames, GateAddress: func(p string) string { return p }}, agent, nil, logging.ForComponent(logs, "ingress"))
	in.quota = q
	d := &routes.Document{Version: 1}
	if account != nil {
		d.Accounts = []routes.Account{*account}
	}
	in.accounts.setTable(routes.NewTable(d))
	now := time.Now()
	req := &routedRequest{id: "i", service: "s", request: &httpserver.Request{Received: now, Header: http.Header{}}, objective: now.Add(objective), deadline: now.Add(5 * time.Second)}
	return in, &requestState{request: req, view: agent.View(), route: &routes.Route{Kind: routes.Idempotent}, account: account}
}

// Guards against requests that take more or less than one of their account's limit, also
// if they need none, and against a request that ran nowhere and is charged.
func TestQuotaOfRequests(t *testing.T) {
	tests := map[string]struct {
		account *routes.Account
		want    []string
	}{
		"no account":            {nil, nil},
		"account without limit": {&routes.Account{Name: "free"}, nil},
		"account with limit":    {&routes.Account{Name: "paying", Rate: 5}, []string{"paying"}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &fakeQuota{}
			in, st := quotaIngress(q, c.account, time.Second)
			is.Equal(in.execute(t.Context(), st).Status, http.StatusServiceUnavailable) // there is no target
			is.Equal(q.taken, c.want)
			is.Equal(q.refunded, c.want)
		})
	}
}

// Guards against a refund of a request that may have run at a target, and against none
// for one that did not.
func TestRefunds(t *testing.T) {
	for name, c := range map[string]struct {
		mayHaveRun bool
		refunds    int
	}{"ran, or may have run": {true, 0}, "refused by every target": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			q := &fakeQuota{}
			in, st := quotaIngress(q, &routes.Account{Name: "paying", Rate: 5}, time.Second)
			st.mayHaveRun = c.mayHaveRun
			in.settleQuota(st)
			is.New(t).Equal(len(q.refunded), c.refunds)
		})
	}
}

// Guards against an answer over the limit that takes part in targets' load or refunds,
// and against advice to retry before a token is free.
func TestOverQuota(t *testing.T) {
	is := is.New(t)
	q := &fakeQuota{after: 1234567 * time.Microsecond}
	in, st := quotaIngress(q, &routes.Account{Name: "paying", Rate: 5}, time.Second)
	resp := in.execute(t.Context(), st)
	is.Equal(resp.Status, http.StatusTooManyRequests)
	is.Equal(resp.Header.Get("Retry-After"), "1.235")
	is.Equal(resp.Header.Get("Bq-Request-Id"), "i")
	is.Equal(st.last.reason, reasonOverQuota)
	is.Equal(st.picks, 0)
	is.Equal(len(q.taken), 1)
	is.Equal(len(q.refunded), 0)
}

// Guards against a wait for an allotment that uses up the latency objective.
func TestQuotaWait(t *testing.T) {
	is := is.New(t)
	for objective, want := range map[time.Duration]time.Duration{200 * time.Millisecond: 50 * time.Millisecond, 4 * time.Second: 150 * time.Millisecond} {
		q := &fakeQuota{}
		in, st := quotaIngress(q, &routes.Account{Name: "paying", Rate: 5}, objective)
		in.takeQuota(t.Context(), st)
		is.Equal(q.waits, []time.Duration{want})
	}
}

// Guards against counters of accounts that stay after the accounts are removed, so that
// changes of the document take memory without end, and against wrong results.
func TestAccountCounters(t *testing.T) {
	is := is.New(t)
	text := func() string {
		var buf bytes.Buffer
		metrics.WritePrometheus(&buf, false)
		return buf.String()
	}
	table := func(version uint64, names ...string) *routes.Table {
		d := &routes.Document{Version: version}
		for _, n := range names {
			d.Accounts = append(d.Accounts, routes.Account{Name: n, Rate: 1})
		}
		return routes.NewTable(d)
	}
	var c accountCounters
	first := table(1, "stays", `le"aves`)
	c.setTable(first)
	for _, result := range accountResults {
		c.count("stays", result)
		c.count(`le"aves`, result)
		is.True(strings.Contains(text(), `bramleyquay_account_requests{account="stays",result="`+result+`"} 1`))
		is.True(strings.Contains(text(), `bramleyquay_account_requests{account="le\"aves",result="`+result+`"} 1`))
	}
	c.setTable(table(2, "stays"))
	c.setTable(first) // of a request that started before
	c.count(`le"aves`, resultAdmitted)
	c.count("other", resultAdmitted)
	is.True(!strings.Contains(text(), "aves"))
	is.True(!strings.Contains(text(), `account="other"`))
	is.True(strings.Contains(text(), `account="stays"`))
	c.setTable(table(3))
	is.True(!strings.Contains(text(), `account="stays"`))
}
