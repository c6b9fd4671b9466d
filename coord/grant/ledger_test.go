package grant_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

var self = ranges.Holder{Target: "t", Life: 7, Process: "p"}

func row(from, to uint16, fence uint64) ranges.Row {
	return ranges.Row{From: from, To: to, Holder: self, Fence: fence}
}

func ledger() *grant.Ledger {
	l := grant.New(grant.DefaultConfig(10*time.Second), self, clock.At(0))
	l.SetRows([]ranges.Row{row(0, 99, 3), {From: 100, To: ranges.LastKey}})
	return l
}

// Guards against a target that holds keys beyond the lease of its process.
func TestGrantEndsBeforeLease(t *testing.T) {
	is := is.New(t)
	l := ledger()
	is.Equal(l.Announce(clock.At(0), grant.Announcement{}).For, time.Duration(0))
	l.SetLease(clock.At(time.Second), 4*time.Second)
	g := l.Announce(clock.At(2*time.Second), grant.Announcement{})
	is.Equal(len(g.Rows), 1)
	// The target's clock may run 2% slow.
	is.True(time.Duration(float64(g.For)*1.02) <= 3*time.Second)
	is.True(l.Holds(clock.At(2*time.Second), 50))
	is.True(!l.Holds(clock.At(2*time.Second), 100))
	is.True(!l.Holds(clock.At(5*time.Second), 50))
}

// Guards against a release that is reported while the target still works on
// the row, and against a lost handover token.
func TestRelease(t *testing.T) {
	is := is.New(t)
	l := ledger()
	l.SetLease(clock.At(0), 4*time.Second)
	l.Announce(clock.At(0), grant.Announcement{})
	asked := row(0, 99, 3)
	asked.Releasing = true
	l.SetRows([]ranges.Row{asked, {From: 100, To: ranges.LastKey}})
	is.True(l.Holds(clock.At(0), 50)) // the target has not been told yet
	g := l.Announce(clock.At(time.Second), grant.Announcement{Holds: []ranges.Row{row(0, 99, 3)}})
	is.Equal(len(g.Rows), 0)
	is.True(g.For > 0)
	is.True(!l.Holds(clock.At(time.Second), 50))
	is.Equal(len(l.Released()), 0)
	l.Announce(clock.At(time.Second), grant.Announcement{Released: []ranges.Row{{From: 0, To: 99, Handover: "h"}}})
	is.Equal(l.Released()[0].Handover, "h")
	l.Announce(clock.At(time.Second), grant.Announcement{})
	is.Equal(len(l.Released()), 1)
}

// Guards against a row that stays bound to a target that forgot it, and
// against one announcement, sent before the answer that asked, that frees it.
func TestUnlistedRow(t *testing.T) {
	is := is.New(t)
	l := ledger()
	asked := row(0, 99, 3)
	asked.Releasing = true
	l.SetRows([]ranges.Row{asked, {From: 100, To: ranges.LastKey}})
	l.Announce(clock.At(0), grant.Announcement{})
	is.Equal(len(l.Released()), 0)
	l.Announce(clock.At(0), grant.Announcement{})
	is.Equal(len(l.Released()), 1)
}

// Guards against grants that outgrow what a target takes: a row that it holds
// needs no handover token any more.
func TestTokenIsGivenUntilTaken(t *testing.T) {
	is := is.New(t)
	r := row(0, 99, 3)
	r.Handover = "token"
	l := grant.New(grant.DefaultConfig(10*time.Second), self, clock.At(0))
	l.SetRows([]ranges.Row{r, {From: 100, To: ranges.LastKey}})
	l.SetLease(clock.At(0), 4*time.Second)
	is.Equal(l.Announce(clock.At(0), grant.Announcement{}).Rows[0].Handover, "token")
	is.Equal(l.Announce(clock.At(0), grant.Announcement{Holds: []ranges.Row{row(0, 99, 3)}}).Rows[0].Handover, "")
}

// Guards against a grant beyond the size that targets take: they ignore it and
// lose their rows. All rows of a small key space go to one target with tokens.
func TestLargeHandoverComesInParts(t *testing.T) {
	is := is.New(t)
	l := grant.New(grant.DefaultConfig(10*time.Second), self, clock.At(0))
	var rows []ranges.Row
	for i := range 128 {
		r := row(uint16(i*512), uint16(i*512+511), uint64(i+1))
		r.Handover = "0123456789abcdef"
		rows = append(rows, r)
	}
	l.SetRows(rows)
	l.SetLease(clock.At(0), 4*time.Second)
	var held []ranges.Row
	for range 4 {
		g := l.Announce(clock.At(0), grant.Announcement{Holds: held})
		size := 0
		for _, r := range g.Rows {
			size += len(fmt.Sprintf(`[%d,%d,%d,"%s"],`, r.From, r.To, r.Fence, r.Handover))
		}
		is.True(size < 3900)
		for _, h := range held {
			is.True(slices.ContainsFunc(g.Rows, func(r ranges.Row) bool { return r.From == h.From }))
		}
		is.Equal(len(g.Rows)+g.Deferred, 128)
		held = g.Rows
	}
	is.Equal(len(held), 128)
	is.True(l.Holds(clock.At(0), 40000))
}

// Guards against rows that stay with a target which has died or is cut off
// from its process, and against their release while it may still hold them.
func TestSilentTargetLosesItsRows(t *testing.T) {
	is := is.New(t)
	l := ledger()
	asked := row(0, 99, 3)
	asked.Releasing = true
	l.SetLease(clock.At(0), 4*time.Second)
	g := l.Announce(clock.At(0), grant.Announcement{})
	is.Equal(len(g.Rows), 1)
	l.SetRows([]ranges.Row{asked, {From: 100, To: ranges.LastKey}})
	// A grant of an earlier life of the process may run for the longest hold.
	is.Equal(l.Expire(clock.At(10*time.Second)), 0)
	is.Equal(l.Expire(clock.At(11*time.Second)), 1)
	is.Equal(l.Expire(clock.At(11*time.Second)), 0)
	is.Equal(len(l.Released()), 1)

	l = ledger()
	l.SetLease(clock.At(20*time.Second), 4*time.Second)
	g = l.Announce(clock.At(21*time.Second), grant.Announcement{})
	l.SetRows([]ranges.Row{asked, {From: 100, To: ranges.LastKey}})
	slow := time.Duration(float64(g.For) * 1.02) // by the target's clock
	is.True(!l.HoldsNothing(clock.At(21*time.Second + slow - time.Millisecond)))
	is.True(l.HoldsNothing(clock.At(24 * time.Second)))
}
