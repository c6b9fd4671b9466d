package relay

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

// Guards against the weights of an earlier document.
func TestAccountWeights(t *testing.T) {
	is := is.New(t)
	var w accountWeights
	table := func(weight float64) *routes.Table {
		return routes.NewTable(&routes.Document{Version: 1, Accounts: []routes.Account{{Name: "acme", Weight: weight}}})
	}
	is.Equal(w.of(nil, "acme"), 1.0)
	is.Equal(w.of(table(3), "acme"), 3.0)
	is.Equal(w.of(table(5), "acme"), 5.0)
	is.Equal(w.of(table(0), "acme"), 1.0)
	is.Equal(w.of(table(5), "other"), 1.0)
}
