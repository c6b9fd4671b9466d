package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

const lease = 4 * time.Second

// world drives a state and a leader in virtual time.
type world struct {
	t     *testing.T
	now   time.Duration
	index uint64
	state *fleet.State
	lead  *fleet.Leader
	// last is the newest renewal of each process; silent ones send none.
	members map[string]fleet.Renewal
	leases  map[string]time.Duration
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, state: fleet.NewState(), lead: fleet.NewLeader(fleet.DefaultConfig(lease)),
		members: map[string]fleet.Renewal{}, leases: map[string]time.Duration{}}
	w.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{ChangeID: "first", Document: &routes.Document{
		Version: 1, Services: []routes.Service{{Name: "s", Sharded: true}},
	}}})
	w.lead.BecomeLeader(clock.At(0), 1)
	return w
}

func (w *world) apply(c fleet.Command) fleet.Result {
	w.index++
	data, err := fleet.EncodeCommand(c)
	if err != nil {
		w.t.Fatal(err)
	}
	r, err := w.state.Apply(w.index, data)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

func (w *world) join(process string) {
	w.members[process] = fleet.Renewal{Member: fleet.Member{
		Process: process, DataCentre: "dc-" + process, Target: "t-" + process, Incarnation: 1, Service: "s", Slots: 4, Condition: fleet.Ready,
	}}
}

// run lets time pass with renewals and ticks every 100 ms.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 100 * time.Millisecond {
		for p, r := range w.members {
			w.leases[p] = w.lead.Renew(clock.At(w.now), w.state, r).Lease
		}
		for _, c := range w.lead.Tick(clock.At(w.now), w.state) {
			w.apply(c)
		}
	}
}

func (w *world) held(process string) (n int, fences []uint64) {
	for _, r := range w.state.Keyspace("s").Ranges {
		if r.Holder.Process == process {
			n++
			fences = append(fences, r.Fence)
		}
	}
	return n, fences
}

// Guards against keys that go to another target while the lost one may still
// hold them, and against keys that never do.
func TestLostHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	w.run(4 * time.Second)
	n, _ := w.held("a")
	is.True(n > 0)
	delete(w.members, "a")
	w.run(lease)
	n, _ = w.held("a")
	is.True(n > 0)
	w.run(time.Second)
	n, _ = w.held("a")
	is.Equal(n, 0)
}

// Guards against requests that still reach a drained data centre because no
// other one has a target that could take its keys.
func TestDrainOfTheOnlyDataCentre(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.run(4 * time.Second)
	n, _ := w.held("a")
	is.True(n > 0)
	w.apply(fleet.Command{SetDrain: &fleet.SetDrain{DataCentre: "dc-a", On: true}})
	w.run(time.Second)
	for _, r := range w.state.Keyspace("s").Ranges {
		is.True(r.Releasing || r.Holder.IsZero())
	}
}

// Guards against keys that are taken from the last target because it drains:
// nobody else could serve them.
func TestLastTargetDrains(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.run(4 * time.Second)
	a := w.members["a"]
	a.Member.Condition = fleet.Draining
	w.members["a"] = a
	w.run(time.Second)
	for _, r := range w.state.Keyspace("s").Ranges {
		is.True(!r.Releasing && !r.Holder.IsZero())
	}
}

// Guards against a lease that is granted to a holder whose loss was decided.
func TestNoLeaseWhileLosing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	w.run(4 * time.Second)
	a := w.members["a"]
	delete(w.members, "a")
	for range 200 {
		w.now += 100 * time.Millisecond
		w.lead.Renew(clock.At(w.now), w.state, w.members["b"])
		if len(w.lead.Tick(clock.At(w.now), w.state)) > 0 {
			break // proposed and not applied yet
		}
	}
	is.Equal(w.lead.Renew(clock.At(w.now), w.state, a).Lease, time.Duration(0))
	w.members["a"] = a
	w.run(time.Second)
	is.Equal(w.leases["a"], lease)
}

// Guards against a new leader that knows no leases and declares holders lost.
func TestNewLeaderWaitsOneLease(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	w.run(4 * time.Second)
	before, _ := w.held("a")
	delete(w.members, "a")
	w.lead.BecomeFollower()
	w.lead.BecomeLeader(clock.At(w.now), 2)
	w.run(lease)
	after, _ := w.held("a")
	is.Equal(after, before)
}

// Guards against a wait for the lease of a target that has certainly ended,
// and against fences that do not rise for its next life.
func TestEndedHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	w.run(4 * time.Second)
	_, fences := w.held("a")
	r := w.members["a"]
	r.EndedHolders = []ranges.Holder{r.Member.Holder()}
	r.Member.Incarnation = 2
	w.members["a"] = r
	w.run(300 * time.Millisecond)
	for _, row := range w.state.Keyspace("s").Ranges {
		is.True(row.Holder.Process != "a" || row.Holder.Incarnation == 2)
	}
	_, next := w.held("a")
	if len(next) > 0 {
		is.True(next[0] > fences[len(fences)-1])
	}
}

// Guards against targets of a drained data centre that keep their keys.
func TestDrainedDataCentre(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	w.run(4 * time.Second)
	w.apply(fleet.Command{SetDrain: &fleet.SetDrain{DataCentre: "dc-a", On: true}})
	w.run(200 * time.Millisecond)
	for _, row := range w.state.Keyspace("s").Ranges {
		is.Equal(row.Releasing, row.Holder.Process == "a")
	}
	r := w.members["a"]
	for _, row := range w.state.Keyspace("s").Ranges {
		if row.Releasing {
			r.Released = append(r.Released, fleet.ReleasedRange{Row: row, HandoverToken: "h"})
		}
	}
	w.members["a"] = r
	w.run(200 * time.Millisecond)
	n, _ := w.held("a")
	is.Equal(n, 0)
	got := 0
	for _, row := range w.state.Keyspace("s").Ranges {
		if row.HandoverToken == "h" {
			got++
		}
	}
	is.True(got > 0)
}

// Guards against an accepted change that is refused when it is sent again,
// and against two changes on one base.
func TestDocumentChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	change := func(id string, base, version uint64) fleet.ChangeStatus {
		return w.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{ChangeID: id, BaseVersion: base,
			Document: &routes.Document{Version: version}}}).Status
	}
	is.Equal(change("a", 1, 5), fleet.Accepted)
	is.Equal(change("b", 1, 5), fleet.Conflict)
	is.Equal(change("a", 1, 5), fleet.Accepted)
	is.Equal(change("c", 5, 5), fleet.Refused)
	is.Equal(change("d", 5, 9), fleet.Accepted)
	is.Equal(change("a", 1, 5), fleet.Accepted)
	is.Equal(w.state.Version(), uint64(9))
	data, err := w.state.Snapshot()
	is.NoErr(err)
	restored, err := fleet.Restore(data)
	is.NoErr(err)
	is.True(restored.Accepted("a"))
	is.Equal(restored.Keyspace("s").Revision, w.state.Keyspace("s").Revision)
}

// Guards against keys that wait for a lease after all machines were without
// power: the restarted processes do not know the earlier targets.
func TestLaterStartSucceedsHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	w.run(4 * time.Second)
	w.lead.BecomeFollower()
	w.lead.BecomeLeader(clock.At(w.now), 2)
	for _, p := range []string{"a", "b"} {
		r := w.members[p]
		r.Member.Incarnation = 2
		w.members[p] = r
	}
	w.run(300 * time.Millisecond)
	for _, p := range []string{"a", "b"} {
		n, _ := w.held(p)
		is.True(n > 0)
	}
	for _, row := range w.state.Keyspace("s").Ranges {
		is.Equal(row.Holder.Incarnation, int64(2))
	}
}
