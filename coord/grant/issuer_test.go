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

var self = ranges.Holder{Target: "t", Incarnation: 7, Process: "p"}

func row(from, to uint16, fence uint64) ranges.Range {
	return ranges.Range{From: from, To: to, Holder: self, Fence: fence}
}

func issuer() *grant.Issuer {
	l := grant.New(grant.DefaultConfig(10*time.Second), self, clock.At(0))
	l.SetRanges([]ranges.Range{row(0, 99, 3), {From: 100, To: ranges.LastKey}})
	return l
}

// Guards against a target that holds keys beyond the lease of its process.
func TestGrantEndsBeforeLease(t *testing.T) {
	is := is.New(t)
	l := issuer()
	is.Equal(l.HandleReport(clock.At(0), grant.RangeReport{}).Duration, time.Duration(0))
	l.SetLease(clock.At(time.Second), 4*time.Second)
	g := l.HandleReport(clock.At(2*time.Second), grant.RangeReport{})
	is.Equal(len(g.Ranges), 1)
	// The target's clock may run 2% slow.
	is.True(time.Duration(float64(g.Duration)*1.02) <= 3*time.Second)
	is.True(l.MayServe(clock.At(2*time.Second), 50))
	is.True(!l.MayServe(clock.At(2*time.Second), 100))
	is.True(!l.MayServe(clock.At(5*time.Second), 50))
}

// Guards against a release that is reported while the target still works on
// the row, and against a lost handover token.
func TestRelease(t *testing.T) {
	is := is.New(t)
	l := issuer()
	l.SetLease(clock.At(0), 4*time.Second)
	l.HandleReport(clock.At(0), grant.RangeReport{})
	asked := row(0, 99, 3)
	asked.Releasing = true
	l.SetRanges([]ranges.Range{asked, {From: 100, To: ranges.LastKey}})
	is.True(l.MayServe(clock.At(0), 50)) // the target has not been told yet
	g := l.HandleReport(clock.At(time.Second), grant.RangeReport{Held: []ranges.Range{row(0, 99, 3)}})
	is.Equal(len(g.Ranges), 0)
	is.True(g.Duration > 0)
	is.True(!l.MayServe(clock.At(time.Second), 50))
	is.Equal(len(l.ReleasedRanges()), 0)
	l.HandleReport(clock.At(time.Second), grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, HandoverToken: "h"}}})
	is.Equal(l.ReleasedRanges()[0].HandoverToken, "h")
	l.HandleReport(clock.At(time.Second), grant.RangeReport{})
	is.Equal(len(l.ReleasedRanges()), 1)
}

// Guards against a row that stays bound to a target that forgot it, and
// against one announcement, sent before the answer that asked, that frees it.
func TestUnlistedRange(t *testing.T) {
	is := is.New(t)
	l := issuer()
	asked := row(0, 99, 3)
	asked.Releasing = true
	l.SetRanges([]ranges.Range{asked, {From: 100, To: ranges.LastKey}})
	l.HandleReport(clock.At(0), grant.RangeReport{})
	is.Equal(len(l.ReleasedRanges()), 0)
	l.HandleReport(clock.At(0), grant.RangeReport{})
	is.Equal(len(l.ReleasedRanges()), 1)
}

// Guards against grants that outgrow what a target takes: a row that it holds
// needs no handover token any more.
func TestTokenIsGivenUntilTaken(t *testing.T) {
	is := is.New(t)
	r := row(0, 99, 3)
	r.HandoverToken = "token"
	l := grant.New(grant.DefaultConfig(10*time.Second), self, clock.At(0))
	l.SetRanges([]ranges.Range{r, {From: 100, To: ranges.LastKey}})
	l.SetLease(clock.At(0), 4*time.Second)
	is.Equal(l.HandleReport(clock.At(0), grant.RangeReport{}).Ranges[0].HandoverToken, "token")
	is.Equal(l.HandleReport(clock.At(0), grant.RangeReport{Held: []ranges.Range{row(0, 99, 3)}}).Ranges[0].HandoverToken, "")
}

// Guards against a grant beyond the size that targets take: they ignore it and
// lose their rows. All rows of a small key space go to one target with tokens.
func TestLargeHandoverComesInParts(t *testing.T) {
	is := is.New(t)
	l := grant.New(grant.DefaultConfig(10*time.Second), self, clock.At(0))
	var rows []ranges.Range
	for i := range 128 {
		r := row(uint16(i*512), uint16(i*512+511), uint64(i+1))
		r.HandoverToken = "0123456789abcdef"
		rows = append(rows, r)
	}
	l.SetRanges(rows)
	l.SetLease(clock.At(0), 4*time.Second)
	var held []ranges.Range
	for range 4 {
		g := l.HandleReport(clock.At(0), grant.RangeReport{Held: held})
		size := 0
		for _, r := range g.Ranges {
			size += len(fmt.Sprintf(`[%d,%d,%d,"%s"],`, r.From, r.To, r.Fence, r.HandoverToken))
		}
		is.True(size < 3900)
		for _, h := range held {
			is.True(slices.ContainsFunc(g.Ranges, func(r ranges.Range) bool { return r.From == h.From }))
		}
		is.Equal(len(g.Ranges)+g.Deferred, 128)
		held = g.Ranges
	}
	is.Equal(len(held), 128)
	is.True(l.MayServe(clock.At(0), 40000))
}

// Guards against rows that stay with a target which has died or is cut off
// from its process, and against their release while it may still hold them.
func TestSilentTargetLosesItsRanges(t *testing.T) {
	is := is.New(t)
	l := issuer()
	asked := row(0, 99, 3)
	asked.Releasing = true
	l.SetLease(clock.At(0), 4*time.Second)
	g := l.HandleReport(clock.At(0), grant.RangeReport{})
	is.Equal(len(g.Ranges), 1)
	l.SetRanges([]ranges.Range{asked, {From: 100, To: ranges.LastKey}})
	// A grant of an earlier life of the process may run for the longest hold.
	is.Equal(l.ReleaseExpired(clock.At(10*time.Second)), 0)
	is.Equal(l.ReleaseExpired(clock.At(11*time.Second)), 1)
	is.Equal(l.ReleaseExpired(clock.At(11*time.Second)), 0)
	is.Equal(len(l.ReleasedRanges()), 1)

	l = issuer()
	l.SetLease(clock.At(20*time.Second), 4*time.Second)
	g = l.HandleReport(clock.At(21*time.Second), grant.RangeReport{})
	l.SetRanges([]ranges.Range{asked, {From: 100, To: ranges.LastKey}})
	slow := time.Duration(float64(g.Duration) * 1.02) // by the target's clock
	is.True(!l.GrantsExpired(clock.At(21*time.Second + slow - time.Millisecond)))
	is.True(l.GrantsExpired(clock.At(24 * time.Second)))
}
