package relay

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

// Guards against a weight of zero, which would starve an account.
func TestAccountWeights(t *testing.T) {
	is := is.New(t)
	table := func(weight float64) *routes.Table {
		return routes.NewTable(&routes.Document{Version: 1, Accounts: []routes.Account{{Name: "acme", Weight: weight}}})
	}
	is.Equal(weightOf(nil, "acme"), 1.0)
	is.Equal(weightOf(table(3), "acme"), 3.0)
	is.Equal(weightOf(table(5), "acme"), 5.0)
	is.Equal(weightOf(table(0), "acme"), 1.0)
	is.Equal(weightOf(table(5), "other"), 1.0)
}
