package control_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
)

// A process applies committed commands to State and proposes what Controller
// returns. Here every proposal is committed at once.
func Example() {
	state := control.NewState()
	leader := control.NewController(control.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	leader.BecomeLeader(clock.At(0))
	index := uint64(0)
	commit := func(now clock.Reading, commands []control.Command) {
		for _, c := range commands {
			index++
			leader.OnApplied(now, state, c, state.Apply(index, c))
		}
	}
	commit(clock.At(0), []control.Command{{ApplyDocument: &control.ApplyDocument{
		ChangeID: "c1", Author: "ann",
		Text: []byte(`{"services":[{"name":"clubs","keyed":true,"shards":4,"dataCentres":["a"]}]}`),
	}}})
	renewal := control.Renewal{ID: "m1", Incarnation: 7, DataCentre: "a", Target: &control.Target{Service: "clubs", Slots: 12}}
	for i := range 4 {
		now := clock.At(time.Duration(i) * 250 * time.Millisecond)
		renewal.Seq++
		reply, commands := leader.Renew(now, state, renewal)
		commit(now, commands)
		commit(now, leader.Tick(now, state))
		renewal.TableRevision, renewal.ConfigRevision = reply.TableRevision, 1
		fmt.Printf("%s %q\n", reply.Status, state.Table().Lookup("clubs", 1).Owner)
	}
	// Output:
	// pending ""
	// granted ""
	// granted "m1"
	// granted "m1"
}
