package relay

import "bramleyquay.example/coord/routes"

// flow returns the name of the request's caller for the shares of a target's queue: its
// account. Requests without an account share one flow.
func (r *routedRequest) flow() string { return r.account }

// weightOf returns the weight of an account, 1 for one that has none or is not known.
func weightOf(table *routes.Table, account string) float64 {
	if account == "" || table == nil {
		return 1
	}
	if a := table.Account(account); a != nil && a.Weight > 0 {
		return a.Weight
	}
	return 1
}
