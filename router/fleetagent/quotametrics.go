package fleetagent

import (
	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/metriclabel"
	"bramleyquay.example/router/timesource"
)

// quotaMetrics are the names of the gauges of the accounts in the process's document.
// Those of other accounts are removed, so that their number is bounded by the document.
// The ingress counts the requests of accounts.
type quotaMetrics map[string]string

// setAccounts adds the gauges of new accounts of a document, which may be nil, and
// removes those of others.
func (m quotaMetrics) setAccounts(q *quotaState, d *routes.Document) {
	current := map[string]bool{}
	if d != nil {
		for _, account := range d.Accounts {
			current[account.Name] = true
		}
	}
	for account, gauge := range m {
		if !current[account] {
			metrics.UnregisterMetric(gauge)
			delete(m, account)
		}
	}
	for account := range current {
		if _, ok := m[account]; ok {
			continue
		}
		m[account] = metriclabel.Name("bramleyquay_account_allotment", "account", account)
		metrics.GetOrCreateGauge(m[account], func() float64 { return q.allotted(account) })
	}
}

// allotted returns the rate, in requests per second, that the process may admit of an
// account.
func (q *quotaState) allotted(account string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	allotment, _ := q.holder.Allotted(timesource.BootTime().Mono, account)
	return allotment.Rate
}
