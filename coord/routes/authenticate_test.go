package routes_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

// Guards against a request that is accepted without a valid key, or refused with one, and
// against deployments without accounts whose requests need a key.
func TestAuthenticate(t *testing.T) {
	table := routes.NewTable(withAccounts())
	protected, public := table.Match("a.example", "/"), table.Match("a.example", "/x/y/z")
	tests := map[string]struct {
		route   *routes.Route
		values  []string
		account string
		refusal routes.Refusal
	}{
		"valid":                   {protected, []string{"Token k-south"}, "south", ""},
		"scheme in another case":  {protected, []string{"tOKEN k-south"}, "south", ""},
		"several spaces":          {protected, []string{"Token   k-south "}, "south", ""},
		"no header":               {protected, nil, "", routes.NoKey},
		"empty header":            {protected, []string{""}, "", routes.NoKey},
		"empty key":               {protected, []string{"Token "}, "", routes.NoKey},
		"key without scheme":      {protected, []string{"k-south"}, "", routes.OtherScheme},
		"other scheme":            {protected, []string{"Basic k-south"}, "", routes.OtherScheme},
		"unknown key":             {protected, []string{"Token k-west"}, "", routes.UnknownKey},
		"two headers":             {protected, []string{"Token k-south", "Token k-south"}, "", routes.SeveralKeys},
		"two keys":                {protected, []string{"Token k-south k-north-1"}, "", routes.MalformedKey},
		"tab before the key":      {protected, []string{"Token\tk-south"}, "", routes.OtherScheme},
		"public without a header": {public, nil, "", ""},
		"public with a key":       {public, []string{"Token k-south"}, "south", ""},
		"public, unknown key":     {public, []string{"Token k-west"}, "", routes.UnknownKey},
		"public, two headers":     {public, []string{"Token k-south", "Token k-south"}, "", routes.SeveralKeys},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			none, refusal := routes.NewTable(document()).Authenticate(c.route, "/x/y/z", "Token", c.values)
			is.True(none == nil && refusal == "")
			a, refusal := table.Authenticate(c.route, "/x/y/z", "Token", c.values)
			is.Equal(refusal, c.refusal)
			is.Equal(a != nil, c.account != "")
			if a != nil {
				is.Equal(a.Name, c.account)
			}
		})
	}
}

// Guards against requests without a key whose path a target takes for that of a protected
// route, and against a key that is asked for on paths that only look like it.
func TestPublicRouteKeepsToItsPrefix(t *testing.T) {
	table := routes.NewTable(withAccounts())
	for path, want := range map[string]routes.Refusal{
		"/x/y/../../a": routes.NoKey, "/x/y/..": routes.NoKey, "/x/y/./a": routes.NoKey, "/x/y/..;v=1/a": routes.NoKey, `/x/y/..\..\a`: routes.NoKey,
		"/x/y/": "", "/x/y/...": "", "/x/y/a..b/.c": "", "/x/y//a": "", "/x/y/;..": "",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			route := table.Match("a.example", path)
			is.True(route.Public)
			_, refusal := table.Authenticate(route, path, "Token", nil)
			is.Equal(refusal, want)
			a, refusal := table.Authenticate(route, path, "Token", []string{"Token k-south"})
			is.True(refusal == "" && a.Name == "south")
		})
	}
}

// FuzzAuthenticate looks for header values that panic, or that are accepted without being
// the scheme and a key of an account, or refused although they are.
func FuzzAuthenticate(f *testing.F) {
	for _, seed := range []string{
		"Token k-south", "token  k-north-1 ", "", " ", "Token", "Token k-south,k-south", "Token\x00k-south", "Token \xff", "Basic k-south",
		"Tok k-south", "Token south", "Token k-south, Token k-south", "Token k-north-2",
	} {
		f.Add("Token", seed, "", false)
		f.Add("Token", seed, seed, true)
	}
	table := routes.NewTable(withAccounts())
	route := table.Match("a.example", "/")
	keys := map[string]string{"k-north-1": "north", "k-north-2": "north", "k-south": "south"}
	f.Fuzz(func(t *testing.T, scheme, first, second string, two bool) {
		values := []string{first}
		if two {
			values = append(values, second)
		}
		fields := strings.FieldsFunc(strings.Trim(first, " \t"), func(r rune) bool { return r == ' ' })
		want := ""
		if !two && len(fields) == 2 && scheme != "" && strings.EqualFold(fields[0], scheme) {
			want = keys[fields[1]]
		}
		got := ""
		a, refusal := table.Authenticate(route, "/", scheme, values)
		if a != nil {
			got = a.Name
		}
		if got != want || (refusal == "") != (got != "") {
			t.Fatalf("%q with scheme %q: account %q, refusal %q, want account %q", values, scheme, got, refusal, want)
		}
	})
}

// FuzzAccountOf looks for keys that find the account of another key.
func FuzzAccountOf(f *testing.F) {
	for _, seed := range []string{"k-south\x00", "", "k-south", "k-south ", "K-south", "k-north-1", "\x00"} {
		f.Add(seed)
	}
	table := routes.NewTable(withAccounts())
	f.Fuzz(func(t *testing.T, key string) {
		a, ok := table.AccountOf(key)
		want := map[string]string{"k-north-1": "north", "k-north-2": "north", "k-south": "south"}[key]
		if ok != (want != "") || ok && a.Name != want {
			t.Fatalf("key %q: account %v, found %v", key, a, ok)
		}
	})
}

// BenchmarkAuthenticate measures the cost for one request at 76 accounts of two keys, for
// docs/CAPACITY.md.
func BenchmarkAuthenticate(b *testing.B) {
	d := document()
	for i := range 76 {
		keys := []string{fmt.Sprintf("key-%d-first-0123456789", i), fmt.Sprintf("key-%d-second-0123456789", i)}
		d.Accounts = append(d.Accounts, routes.Account{Name: fmt.Sprint("account", i), KeyHashes: routes.HashKeys(keys), Rate: 5, Burst: 5})
	}
	table, values := routes.NewTable(d), []string{"Token key-40-second-0123456789"}
	route := table.Match("a.example", "/")
	b.ReportAllocs()
	for b.Loop() {
		if a, _ := table.Authenticate(route, "/", "Token", values); a == nil {
			b.Fatal("refused")
		}
	}
}
