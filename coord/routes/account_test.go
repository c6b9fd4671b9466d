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
	printed := fmt.Sprintf("%v %+v %#v %x", h, d.Accounts, d.Accounts, h)
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
	tests := map[string]struct {
		change func(a []routes.Account)
		want   string
	}{
		"empty name":      {func(a []routes.Account) { a[0].Name = "" }, "account 1: the name is empty, longer than 128 characters, or not printable ASCII without spaces"},
		"space in name":   {func(a []routes.Account) { a[1].Name = "a b" }, "account 2: the name is empty, longer than 128 characters, or not printable ASCII without spaces"},
		"line in name":    {func(a []routes.Account) { a[1].Name = "a\n" }, "account 2: the name is empty, longer than 128 characters, or not printable ASCII without spaces"},
		"long name":       {func(a []routes.Account) { a[1].Name = strings.Repeat("x", 129) }, "account 2: the name is empty, longer than 128 characters, or not printable ASCII without spaces"},
		"duplicate name":  {func(a []routes.Account) { a[1].Name = "north" }, `account "north": the name occurs twice`},
		"key of two":      {func(a []routes.Account) { a[1].KeyHashes = a[0].KeyHashes[1:] }, `account "south": key 1 also belongs to account "north"`},
		"key twice":       {func(a []routes.Account) { a[0].KeyHashes[1] = a[0].KeyHashes[0] }, `account "north": key 2 occurs twice`},
		"empty key":       {func(a []routes.Account) { a[1].KeyHashes = routes.HashKeys([]string{""}) }, `account "south": key 1 is empty or has spaces or control characters`},
		"negative rate":   {func(a []routes.Account) { a[1].Rate = -1 }, `account "south": rate -1 is negative or not a number`},
		"infinite burst":  {func(a []routes.Account) { a[0].Burst = math.Inf(1) }, `account "north": burst +Inf is negative or not a number`},
		"no number":       {func(a []routes.Account) { a[1].Weight = math.NaN() }, `account "south": weight NaN is negative or not a number`},
		"negative rank":   {func(a []routes.Account) { a[1].Priority = &negative }, `account "south": rank -1 is negative`},
		"burst, no rate":  {func(a []routes.Account) { a[1].Burst = 3 }, `account "south": there is a burst without a rate`},
		"several reasons": {func(a []routes.Account) { a[1].Rate, a[1].Priority = -2, &negative }, `account "south": rate -2 is negative or not a number; account "south": rank -1 is negative`},
	}
	is.New(t).Equal(len(withAccounts().Validate()), 0)
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			d := withAccounts()
			c.change(d.Accounts)
			var got []string
			for _, f := range d.Validate() {
				got = append(got, f.String())
			}
			is.New(t).Equal(strings.Join(got, "; "), c.want)
		})
	}
}
