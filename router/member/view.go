// Package member keeps a process registered with control: it renews the lease
// and follows the ownership table, the configuration and the directory.
package member

import (
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

// View is what a process knows of the cluster. It is immutable.
type View struct {
	// Incarnation is the incarnation of this member's registration.
	Incarnation    uint64
	Table          *table.Table
	ConfigRevision uint64
	// Document is nil until the first configuration has arrived.
	Document  *config.Document
	Directory *Directory
	// Draining says that control wants this member to take no new work.
	Draining bool
	// MayStop says that a leaving member owns nothing any more.
	MayStop bool
}

func emptyView(incarnation uint64) *View {
	return &View{Incarnation: incarnation, Table: table.Empty(), Directory: emptyDirectory()}
}
