package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/shard"
)

// Guards against an operator's move that can never succeed: the owner's epoch rises
// between planning and proposal, and the retry with the same change id and the new
// epoch is refused as a different change.
func TestStaleMoveCanBeRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	doc := testDocument()
	doc.Automation.Rebalance = false
	f.applyDocument(doc)
	f.addMember("m0", "a", "clubs")
	f.addMember("m1", "b", "clubs")
	f.run(5 * time.Second)
	unit := shard.Unit{Keyspace: "clubs", Shard: 3}
	e := f.state.Table().Entry(unit)
	to := f.renewals["m0"].ID
	if e.Owner == to {
		to = f.renewals["m1"].ID
	}
	move := BeginMove{Unit: unit, Epoch: e.Epoch - 1, To: to, ChangeID: "c", Author: "ann"}
	is.Equal(f.apply(Command{BeginMove: &move}).Refusal, RefusedStale)
	retry := move
	retry.Epoch = e.Epoch
	is.True(f.apply(Command{BeginMove: &retry}).Accepted())
	// A further retry gets the first result.
	is.True(f.apply(Command{BeginMove: &retry}).Accepted())
}
