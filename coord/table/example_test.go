package table_test

import (
	"fmt"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

func ExampleTable_Apply() {
	unit := shard.Unit{Keyspace: "catalogue"}
	t, err := table.Empty().Apply(table.Delta{
		ToRevision: 1, Full: true, Shards: map[string]uint32{"catalogue": 1},
		Entries: []table.Entry{{Unit: unit, Owner: "a", Epoch: 1, Phase: table.Serving}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	e := t.Lookup("catalogue", shard.Hash("seat-17"))
	fmt.Println(t.Revision(), e.Owner, e.Phase)
	// Output: 1 a serving
}
