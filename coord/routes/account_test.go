package routes_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

func withAccounts() *routes.Document {
	d := document()
	priority := 0
	d.Accounts = []routes.Account{
		{Name: "north", KeyHashes: routes.HashKeys([]string{"k-north-1", "k-north-2"}), Priority: &priority, Rate: 261, Burst: 261},
		{Name: "south", KeyHashes: routes.HashKeys([]string{"k-south"})},
	}
	d.Routes[1].Public = true
	return d
}

// Guards against a hash that differs from the published definition, since operators'
// tools may compute it, and against hashes that are lost or shown on the way to a
// process.
func TestKeyHash(t *testing.T) {
	is := is.New(t)
	h := routes.HashKey("abc")
	is.Equal(fmt.Sprintf("%x", h[:]), "ba7816bf8f01cfea414140de5dae2223")
	text, err := json.Marshal(withAccounts())
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "k-north"))
	var d routes.Document
	is.NoErr(json.Unmarshal(text, &d))
	is.Equal(&d, withAccounts())
	accounts := append(d.Accounts, routes.Account{Name: "abc", KeyHashes: []routes.KeyHash{h}})
	accounts[0].Priority = nil // prints as an address, whose digits may be those below
	printed := fmt.Sprintf("%v %+v %#v %x", h, accounts, accounts, h)
	is.True(!strings.Contains(printed, "ba7816") && !strings.Contains(printed, "0xba") && !strings.Contains(printed, "186"))
	err = json.Unmarshal([]byte(`"c2VjcmV0LWtleQ"`), &h)
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "c2Vj"))
}

// Guards against a key that gives another account's rights or none, and against a
// revoked key that stays valid.
func TestAccountOf(t *testing.T) {
	is := is.New(t)
	d := withAccounts()
	table := routes.NewTable(d)
	for key, name := range map[string]string{"k-north-1": "north", "k-north-2": "north", "k-south": "south"} {
		a, ok := table.AccountOf(key)
		is.True(ok)
		is.Equal(a.Name, name)
		is.Equal(table.Account(name), a)
	}
	for _, key := range []string{"", " ", "k-north", "K-SOUTH", "k-south ", "k-south\x00"} {
		_, ok := table.AccountOf(key)
		is.True(!ok)
	}
	revoked := withAccounts()
	revoked.Version, revoked.Accounts[0].KeyHashes = 4, revoked.Accounts[0].KeyHashes[1:]
	next, ok := routes.Diff(d, revoked).Apply(d)
	is.True(ok)
	_, ok = routes.NewTable(next).AccountOf("k-north-1")
	is.True(!ok)
	_, ok = routes.NewTable(next).AccountOf("k-north-2")
	is.True(ok)
}

// Guards against a process whose accounts differ from the operator's after a patch: with
// a changed priority, which is behind a pointer, a removed account, or none left.
func TestPatchOfAccounts(t *testing.T) {
	is := is.New(t)
	from, to := withAccounts(), withAccounts()
	priority := 4
	to.Version = 9
	to.Accounts = []routes.Account{to.Accounts[0], {Name: "new", Rate: 1}}
	to.Accounts[0].Priority = &priority
	p := routes.Diff(from, to)
	is.Equal(p.RemovedAccounts, []string{"south"})
	is.Equal(len(p.Accounts), 2)
	got, ok := p.Apply(from)
	is.True(ok)
	is.Equal(got.Accounts, to.Accounts)
	none := document()
	none.Version = 10
	got, ok = routes.Diff(to, none).Apply(to)
	is.True(ok)
	is.True(!routes.NewTable(got).HasAccounts())
}

// Guards against invalid accounts that are accepted, against findings that are not all
// reported, and against findings that do not name the account or that show a key.
func TestValidateAccounts(t *testing.T) {
	negative := -1
	tests := map[string]func(a, b *routes.Account){
		`account "north": the name occurs twice`:                                                     func(_, b *routes.Account) { b.Name = "north" },
		`account "south": key 1 also belongs to account "north"`:                                     func(a, b *routes.Account) { b.KeyHashes = a.KeyHashes[1:] },
		`account "north": key 2 occurs twice`:                                                        func(a, _ *routes.Account) { a.KeyHashes[1] = a.KeyHashes[0] },
		`account "south": key 1 is empty or has spaces or control characters`:                        func(_, b *routes.Account) { b.KeyHashes = routes.HashKeys([]string{""}) },
		`account "north": burst +Inf is negative or not a number`:                                    func(a, _ *routes.Account) { a.Burst = math.Inf(1) },
		`account "south": weight NaN is negative or not a number`:                                    func(_, b *routes.Account) { b.Weight = math.NaN() },
		`account "south": there is a burst without a rate`:                                           func(_, b *routes.Account) { b.Burst = 3 },
		`account "south": rate -2 is negative or not a number; account "south": rank -1 is negative`: func(_, b *routes.Account) { b.Rate, b.Priority = -2, &negative },
	}
	is.New(t).Equal(len(withAccounts().Validate()), 0)
	for _, name := range []string{"", "a b", "a\n", "\u00e9", strings.Repeat("x", 129)} {
		tests["account 2: the name is empty, longer than 128 characters, or not printable ASCII without spaces"] = func(_, b *routes.Account) { b.Name = name }
		for want, change := range tests {
			d := withAccounts()
			change(&d.Accounts[0], &d.Accounts[1])
			var got []string
			for _, f := range d.Validate() {
				got = append(got, f.String())
			}
			is.New(t).Equal(strings.Join(got, "; "), want)
		}
	}
}
