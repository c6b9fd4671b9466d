package relay

import (
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/metriclabel"
)

// Results of the requests of accounts. A refunded request was admitted before.
const (
	resultAdmitted  = "admitted"
	resultOverQuota = "over_quota"
	resultRefunded  = "refunded"
)

var accountResults = []string{resultAdmitted, resultOverQuota, resultRefunded}

// accountCounters counts requests by account in bramleyquay_account_requests. It has
// only the accounts of the newest document, so that changed documents do not add
// counters without end.
type accountCounters struct {
	table atomic.Pointer[routes.Table]
	mu    sync.Mutex
	// counted has the accounts with counters.
	counted map[string]bool
}

// setTable removes the counters of accounts that a newer document does not have.
func (c *accountCounters) setTable(t *routes.Table) {
	if c.table.Load() == t {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.table.Load(); current != nil && current.Document().Version > t.Document().Version {
		return // a request that started before the change
	}
	c.table.Store(t)
	for account := range c.counted {
		if t.Account(account) != nil {
			continue
		}
		delete(c.counted, account)
		for _, result := range accountResults {
			metrics.UnregisterMetric(accountMetric(account, result))
		}
	}
}

// count counts a request of an account. It does nothing if the newest document does not
// have the account.
func (c *accountCounters) count(account, result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil || t.Account(account) == nil {
		return
	}
	if c.counted == nil {
		c.counted = map[string]bool{}
	}
	c.counted[account] = true
	metrics.GetOrCreateCounter(accountMetric(account, result)).Inc()
}

func accountMetric(account, result string) string {
	return metriclabel.Name("bramleyquay_account_requests", "account", account, "result", result)
}

// countUnauthorized counts a request without a valid key, which has no account.
func countUnauthorized() {
	metrics.GetOrCreateCounter(`bramleyquay_account_requests{result="unauthorized"}`).Inc()
}
