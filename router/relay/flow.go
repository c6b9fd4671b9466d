package relay

import (
	"sync"

	"bramleyquay.example/coord/routes"
)

// flow returns the name of the request's caller for the shares of a target's queue: its
// account. Requests without an account share one flow.
func (r *routedRequest) flow() string { return r.account }

// accountWeights are the weights of the client accounts in one version of the document.
// Its methods may be called concurrently.
type accountWeights struct {
	mu      sync.Mutex
	table   *routes.Table
	weights map[string]float64
}

// of returns the weight of an account, 1 for one that has none or is not known.
func (a *accountWeights) of(table *routes.Table, account string) float64 {
	if account == "" || table == nil {
		return 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table != table {
		a.table, a.weights = table, map[string]float64{}
		for _, account := range table.Document().Accounts {
			a.weights[account.Name] = account.Weight
		}
	}
	if w := a.weights[account]; w > 0 {
		return w
	}
	return 1
}
