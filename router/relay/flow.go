package relay

import (
	"sync"

	"bramleyquay.example/coord/routes"
)

// headerEntry names the process where a request entered, on its way from that process to
// the gate of another one. It is not part of headerHop, so that processes of both kinds
// work together during an upgrade.
const headerEntry = "Bq-Entry"

// flow returns the name of the request's caller for the shares of a target's queue: the
// account, or else the process where the request entered. Older processes do not tell
// which one that is; the service of that process takes its place.
func (r *routedRequest) flow() string {
	switch {
	case r.account != "":
		return "account " + r.account
	case r.entry != "":
		return "process " + r.entry
	}
	return "service " + r.caller
}

// returnKey identifies the caller and what it asks for, over its attempts: they have
// different ids. Several callers may share an account or a process; the fingerprint tells
// their requests apart.
func (r *routedRequest) returnKey() string {
	return r.flow() + " " + r.route + " " + r.fingerprint.String()
}

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
