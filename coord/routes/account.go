package routes

import "crypto/subtle"

// Account is a client account: the customer on whose behalf callers send requests.
type Account struct {
	// Name is what targets are told. It is unique.
	Name string `json:"name" cbor:"1,keyasint"`
	// KeyHashes are the hashes of the keys that identify the account's callers.
	KeyHashes []KeyHash `json:"keyHashes,omitempty" cbor:"2,keyasint,omitempty"`
	// Priority replaces the priority of the route, unless it is nil.
	Priority *int `json:"rank,omitempty" cbor:"3,keyasint,omitempty"`
	// Rate is the number of requests per second that all processes together accept.
	// Zero means no limit.
	Rate float64 `json:"rate,omitempty" cbor:"4,keyasint,omitempty"`
	// Burst is the number of requests that are accepted in addition to Rate. With a
	// rate, a burst below 1 counts as 1.
	Burst float64 `json:"burst,omitempty" cbor:"5,keyasint,omitempty"`
	// Weight is the account's share, relative to others of the same priority, of a
	// target without room for all. Zero means 1.
	Weight float64 `json:"weight,omitempty" cbor:"6,keyasint,omitempty"`
}

// maxAccountNameBytes bounds the name of an account, which each request to a target and
// each log line carries.
const maxAccountNameBytes = 128

// isAccountName reports whether a name can be the value of a header and of a metric's
// label: 1 to maxAccountNameBytes characters of printable ASCII without spaces.
func isAccountName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxAccountNameBytes
}

// accountIndex finds accounts by key and by name.
type accountIndex struct {
	byHash map[KeyHash]hashedKey
	byName map[string]*Account
}

// hashedKey is one key of an account.
type hashedKey struct {
	hash    KeyHash
	account *Account
}

func newAccountIndex(accounts []Account) accountIndex {
	x := accountIndex{byHash: map[KeyHash]hashedKey{}, byName: map[string]*Account{}}
	for i := range accounts {
		a := &accounts[i]
		x.byName[a.Name] = a
		for _, h := range a.KeyHashes {
			x.byHash[h] = hashedKey{hash: h, account: a}
		}
	}
	return x
}

// HasAccounts reports whether requests need a key, except those of public routes.
func (t *Table) HasAccounts() bool { return len(t.doc.Accounts) > 0 }

// Account returns the account of a name, or nil if the document does not have it.
func (t *Table) Account(name string) *Account { return t.accounts.byName[name] }

// AccountOf returns the account that a key belongs to.
func (t *Table) AccountOf(key string) (*Account, bool) {
	hash := HashKey(key)
	entry, ok := t.accounts.byHash[hash]
	// The time that the map takes depends on the hash; the comparison decides and
	// takes the same time for all hashes.
	if !ok || hash == (KeyHash{}) || subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 {
		return nil, false
	}
	return entry.account, true
}
