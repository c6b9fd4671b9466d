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
	// Draining is set while control wants this member to accept no new requests.
	Draining bool
	// MayStop is set once a leaving member owns no units any more.
	MayStop bool
}

func emptyView(incarnation uint64) *View {
	return &View{Incarnation: incarnation, Table: table.Empty(), Directory: emptyDirectory()}
}
