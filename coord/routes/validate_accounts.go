package routes

import (
	"fmt"
	"math"
)

// accounts checks the accounts. Findings name accounts and the positions of keys, never
// a key or its hash.
func (v *validation) accounts(accounts []Account) {
	names := map[string]bool{}
	owners := map[KeyHash]int{}
	for i := range accounts {
		a := &accounts[i]
		place := fmt.Sprintf("account %q", a.Name)
		if !isAccountName(a.Name) {
			place = fmt.Sprintf("account %d", i+1)
			v.add(place, "the name is empty, longer than %d characters, or not printable ASCII without spaces", maxAccountNameBytes)
		} else if names[a.Name] {
			v.add(place, "the name occurs twice")
		}
		names[a.Name] = true
		v.keys(place, i, accounts, owners)
		v.accountLimits(place, a)
	}
}

// keys checks the keys of the account of an index. owners has the index of the first
// account of each key so far.
func (v *validation) keys(place string, index int, accounts []Account, owners map[KeyHash]int) {
	for n, hash := range accounts[index].KeyHashes {
		owner, known := owners[hash]
		switch {
		case hash == (KeyHash{}):
			v.add(place, "key %d is empty or has spaces or control characters", n+1)
			continue
		case known && owner == index:
			v.add(place, "key %d occurs twice", n+1)
		case known && isAccountName(accounts[owner].Name):
			v.add(place, "key %d also belongs to account %q", n+1, accounts[owner].Name)
		case known:
			v.add(place, "key %d also belongs to account %d", n+1, owner+1)
		default:
			owners[hash] = index
		}
	}
}

func (v *validation) accountLimits(place string, a *Account) {
	for _, n := range []struct {
		name  string
		value float64
	}{{"rate", a.Rate}, {"burst", a.Burst}, {"weight", a.Weight}} {
		if n.value < 0 || math.IsInf(n.value, 0) || math.IsNaN(n.value) {
			v.add(place, "%s %g is negative or not a number", n.name, n.value)
		}
	}
	if a.Burst > 0 && a.Rate == 0 {
		v.add(place, "there is a burst without a rate")
	}
	if a.Priority != nil && *a.Priority < 0 {
		v.add(place, "rank %d is negative", *a.Priority)
	}
}
