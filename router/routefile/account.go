package routefile

import "bramleyquay.example/coord/routes"

// account is a client account as operators write it.
type account struct {
	Name string `json:"name"`
	// Keys are secrets. They are hashed here and never occur in findings.
	Keys     []string `json:"keys"`
	Priority *int     `json:"rank"`
	Rate     float64  `json:"rate"`
	Burst    float64  `json:"burst"`
	Weight   float64  `json:"weight"`
}

func (a *account) account() routes.Account {
	return routes.Account{
		Name: a.Name, KeyHashes: routes.HashKeys(a.Keys), Priority: a.Priority, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight,
	}
}
