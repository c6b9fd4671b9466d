// Package member keeps a process registered with control in the mode with hashed
// shards: it renews the lease and keeps the newest ownership table,
// configuration and directory.
package member

import (
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

// View is the cluster state that a process has applied. It is immutable.
type View struct {
	// Incarnation is the incarnation of this member's registration.
	Incarnation    uint64
	Table          *table.Table
	ConfigRevision uint64
	// Document is nil until the first configuration has arrived.
	Document  *config.Document
	Directory *Directory
	// Draining is set while control drains this member. Package gate then
	// refuses new requests of services without keys; those for units are
	// accepted while this member owns the unit.
	Draining bool
	// MayStop is set if a leaving member can serve no unit any more: it owns
	// none, receives none, has no in-sync copy, and no barrier is set.
	MayStop bool
}

func emptyView(incarnation uint64) *View {
	return &View{Incarnation: incarnation, Table: table.Empty(), Directory: emptyDirectory()}
}
