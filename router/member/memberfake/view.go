package memberfake

import (
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/member"
)

// View returns a view with a document, the table entries of its key spaces and
// the registered members. Every revision is rev, which must not be 0, because
// the table and the directory would be empty. It returns an error if the entries
// do not form a valid table.
func View(rev uint64, doc *config.Document, entries []table.Entry, members ...control.Member) (*member.View, error) {
	delta := table.Delta{ToRevision: rev, Full: true, Shards: map[string]uint32{}, Entries: entries}
	for i := range doc.Services {
		for _, k := range doc.Services[i].Keyspaces() {
			delta.Shards[k.Name] = k.Shards
		}
	}
	t, err := table.Empty().Apply(delta)
	if err != nil {
		return nil, err
	}
	return &member.View{
		Incarnation: 1, Table: t, ConfigRevision: rev, Document: doc,
		Directory: member.NewDirectory(control.DirectoryUpdate{Revision: rev, Full: true, Members: members}),
	}, nil
}
