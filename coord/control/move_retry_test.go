package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/shard"
)

// Guards against an operator's move that can never succeed: the owner's epoch
// rises between the look at the table and the proposal, and the second attempt
// under the same change id is taken for another change.
func TestMoveIsPlannedAgain(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	doc := testDocument()
	doc.Automation.Rebalance = false
	r.document(doc)
	r.join("m0", "a", "clubs")
	r.join("m1", "b", "clubs")
	r.run(5 * time.Second)
	unit := shard.Unit{Keyspace: "clubs", Shard: 3}
	e := r.s.Table().Entry(unit)
	to := r.renew["m0"].ID
	if e.Owner == to {
		to = r.renew["m1"].ID
	}
	move := BeginMove{Unit: unit, Epoch: e.Epoch - 1, To: to, ChangeID: "c", Author: "ann"}
	is.Equal(r.apply(Command{BeginMove: &move}).Refusal, RefusedStale)
	again := move
	again.Epoch = e.Epoch
	is.True(r.apply(Command{BeginMove: &again}).Accepted())
	// The same change sent once more gets its first answer.
	is.True(r.apply(Command{BeginMove: &again}).Accepted())
}
