package fleetagent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/timesource"
)

// quotaMetrics are the metrics of the accounts in the process's document. Those of other
// accounts are removed, so that their number is bounded by the document.
type quotaMetrics map[string]accountMetrics

type accountMetrics struct {
	results   map[string]*metrics.Counter
	allotment string // name of the gauge
}

// count counts a request of an account by its result.
func (m quotaMetrics) count(account, result string) {
	if c := m[account].results[result]; c != nil {
		c.Inc()
	}
}

func requestsMetric(account, result string) string {
	return fmt.Sprintf(`bramleyquay_account_requests{account=%q,result=%q}`, account, result)
}

// setAccounts adds the metrics of new accounts of a document, which may be nil, and
// removes those of others.
func (m quotaMetrics) setAccounts(q *quotaState, d *routes.Document) {
	current := map[string]bool{}
	if d != nil {
		for _, account := range d.Accounts {
			current[account.Name] = true
		}
	}
	for account, a := range m {
		if current[account] {
			continue
		}
		for result := range a.results {
			metrics.UnregisterMetric(requestsMetric(account, result))
		}
		metrics.UnregisterMetric(a.allotment)
		delete(m, account)
	}
	for account := range current {
		if _, ok := m[account]; ok {
			continue
		}
		a := accountMetrics{results: map[string]*metrics.Counter{}, allotment: fmt.Sprintf(`bramleyquay_account_allotment{account=%q}`, account)}
		for _, result := range []string{"admitted", "over_quota", "refunded"} {
			a.results[result] = metrics.GetOrCreateCounter(requestsMetric(account, result))
		}
		metrics.GetOrCreateGauge(a.allotment, func() float64 { return q.allotted(account) })
		m[account] = a
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
