package bqctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/fleetnode"
)

// Guards against a name that looks like further cells or rows of a table.
func TestNamesInTables(t *testing.T) {
	is := is.New(t)
	text := fleetStatusText(fleetnode.Status{ID: "a", Leader: "a", Members: []fleet.Member{{Process: "p", Service: "s\tready\nq", Condition: fleet.Ready}}})
	is.True(strings.HasSuffix(text, "\np                     s\\tready\\nq          0      8/8     ready"))
}
