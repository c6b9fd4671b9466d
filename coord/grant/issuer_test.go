package grant_test

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

var self = ranges.Holder{Target: "t", Incarnation: 7, Process: "p"}

func selfRange(from, to uint16, fence uint64) ranges.Range {
	return ranges.Range{From: from, To: to, Holder: self, Fence: fence}
}

// newIssuer returns an issuer whose process has run for longer than all earlier grants.
func newIssuer() *grant.Issuer { return newIssuerAfterRestart(0) }

// newIssuerAfterRestart returns an issuer of a process that has just started.
func newIssuerAfterRestart(earlierEnd time.Duration) *grant.Issuer {
	iss := grant.New(grant.DefaultConfig(10*time.Second, time.Second), self, earlierEnd)
	iss.SetRanges([]ranges.Range{selfRange(0, 99, 3), {From: 100, To: ranges.LastKey}})
	return iss
}

// Guards against a grant that outlasts the lease of the sidecar process.
func TestGrantEndsBeforeLease(t *testing.T) {
	is := is.New(t)
	iss := newIssuer()
	is.Equal(iss.HandleReport(clock.At(0), grant.RangeReport{}).Duration, time.Duration(0))
	iss.SetLease(clock.At(time.Second), 4*time.Second)
	g := iss.HandleReport(clock.At(2*time.Second), grant.RangeReport{})
	is.Equal(len(g.Ranges), 1)
	// The target's clock may run 2% slow.
	is.True(time.Duration(float64(g.Duration)*1.02) <= 3*time.Second)
	is.True(iss.MayServe(clock.At(2*time.Second), 50))
	is.True(!iss.MayServe(clock.At(2*time.Second), 100))
	is.True(!iss.MayServe(clock.At(5*time.Second), 50))
}

// Guards against a release that is reported while the target still serves
// requests of the range, and against a lost handover token.
func TestRelease(t *testing.T) {
	is := is.New(t)
	iss := newIssuer()
	iss.SetLease(clock.At(0), 4*time.Second)
	iss.HandleReport(clock.At(0), grant.RangeReport{})
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	is.True(iss.MayServe(clock.At(0), 50)) // no grant has left the range out yet
	g := iss.HandleReport(clock.At(time.Second), grant.RangeReport{Held: []ranges.Range{selfRange(0, 99, 3)}})
	is.Equal(len(g.Ranges), 0)
	is.True(g.Duration > 0)
	is.True(!iss.MayServe(clock.At(time.Second), 50))
	is.Equal(len(iss.ReleasedRanges()), 0)
	iss.HandleReport(clock.At(time.Second), grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, HandoverToken: "h"}}})
	is.Equal(iss.ReleasedRanges()[0].HandoverToken, "h")
	iss.HandleReport(clock.At(time.Second), grant.RangeReport{})
	is.Equal(len(iss.ReleasedRanges()), 1)
}

// Guards against a range that is never released because its target neither holds
// nor releases it, and against its release after a single report, which may have
// been sent before the answer whose grant left the range out.
func TestUnlistedRange(t *testing.T) {
	is := is.New(t)
	iss := newIssuer()
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	iss.HandleReport(clock.At(0), grant.RangeReport{})
	is.Equal(len(iss.ReleasedRanges()), 0)
	iss.HandleReport(clock.At(0), grant.RangeReport{})
	is.Equal(len(iss.ReleasedRanges()), 1)
}

// Guards against grants that are larger than a target accepts: a range that it
// holds needs no handover token any more.
func TestTokenIsSentUntilRangeIsHeld(t *testing.T) {
	is := is.New(t)
	r := selfRange(0, 99, 3)
	r.HandoverToken = "token"
	iss := grant.New(grant.DefaultConfig(10*time.Second, time.Second), self, 0)
	iss.SetRanges([]ranges.Range{r, {From: 100, To: ranges.LastKey}})
	iss.SetLease(clock.At(0), 4*time.Second)
	is.Equal(iss.HandleReport(clock.At(0), grant.RangeReport{}).Ranges[0].HandoverToken, "token")
	is.Equal(iss.HandleReport(clock.At(0), grant.RangeReport{Held: []ranges.Range{selfRange(0, 99, 3)}}).Ranges[0].HandoverToken, "")
}

// Guards against a grant that is larger than targets accept: they ignore it, and
// lose their ranges when the earlier grant expires. It is largest when all ranges
// of a small key space go to one target with handover tokens, which targets choose: JSON
// escapes some of their characters.
func TestLargeHandoverIsSplit(t *testing.T) {
	for token, rounds := range map[string]int{"0123456789abcdef": 4, strings.Repeat("<", 256): 4, strings.Repeat("\x01", 40): 64} {
		t.Run(strconv.Quote(token), func(t *testing.T) { testLargeHandover(t, token, rounds) })
	}
}

func testLargeHandover(t *testing.T, token string, rounds int) {
	is := is.New(t)
	iss := grant.New(grant.DefaultConfig(10*time.Second, time.Second), self, 0)
	var keyspace []ranges.Range
	for i := range 128 {
		r := selfRange(uint16(i*512), uint16(i*512+511), uint64(i+1))
		r.HandoverToken = token
		keyspace = append(keyspace, r)
	}
	iss.SetRanges(keyspace)
	iss.SetLease(clock.At(0), 4*time.Second)
	var held []ranges.Range
	for range rounds {
		g := iss.HandleReport(clock.At(0), grant.RangeReport{Held: held})
		size := 0
		for _, r := range g.Ranges {
			row, err := json.Marshal([]any{r.From, r.To, r.Fence, r.HandoverToken})
			is.NoErr(err)
			size += len(row) + len(",")
		}
		is.True(size < 3900) // an answer has at most 4 KiB, of which the header takes the rest
		for _, h := range held {
			is.True(slices.ContainsFunc(g.Ranges, func(r ranges.Range) bool { return r.From == h.From }))
		}
		is.Equal(len(g.Ranges)+g.Deferred, 128)
		held = g.Ranges
	}
	is.Equal(len(held), 128)
	is.True(iss.MayServe(clock.At(0), 40000))
}

// Guards against ranges that stay with a target that has ended or can't reach its
// sidecar process, and against their release before its grants have expired.
func TestUnreachableTargetLosesItsRanges(t *testing.T) {
	is := is.New(t)
	iss := newIssuerAfterRestart(10200 * time.Millisecond)
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetLease(clock.At(0), 4*time.Second)
	g := iss.HandleReport(clock.At(0), grant.RangeReport{})
	is.Equal(len(g.Ranges), 1)
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	// An earlier incarnation of the process may have issued a grant of the longest
	// duration.
	is.Equal(iss.ReleaseExpired(clock.At(10*time.Second)), 0)
	is.Equal(iss.ReleaseExpired(clock.At(11*time.Second)), 1)
	is.Equal(iss.ReleaseExpired(clock.At(11*time.Second)), 0)
	is.Equal(len(iss.ReleasedRanges()), 1)

	iss = newIssuer()
	iss.SetLease(clock.At(20*time.Second), 4*time.Second)
	g = iss.HandleReport(clock.At(21*time.Second), grant.RangeReport{})
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	slow := time.Duration(float64(g.Duration) * 1.02) // by the target's clock
	is.True(!iss.GrantsExpired(clock.At(21*time.Second + slow - time.Millisecond)))
	is.True(iss.GrantsExpired(clock.At(24 * time.Second)))
}

// Guards against reports from before the start of a process that count as a release: they
// do not list a range, or list an earlier release of the same keys, and the target has got
// the range since from the earlier process.
func TestReportsAfterRestart(t *testing.T) {
	earlier := grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, HandoverToken: "old"}}}
	for name, reports := range map[string][]grant.RangeReport{
		"not listed":                      {{}, {}, {}},
		"an earlier release":              {earlier},
		"listed, and an earlier release":  {{Held: []ranges.Range{selfRange(0, 99, 3)}}, earlier},
		"a release at an earlier fence":   {{Released: []ranges.Range{{From: 0, To: 99, Fence: 2}}}},
		"not listed since a lost release": {{}, earlier, {}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			iss := newIssuerAfterRestart(4 * time.Second)
			releasing := selfRange(0, 99, 3)
			releasing.Releasing = true
			iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
			iss.SetLease(clock.At(0), 4*time.Second)
			for i, report := range reports {
				iss.HandleReport(clock.At(time.Duration(i)*time.Second), report)
			}
			is.Equal(len(iss.ReleasedRanges()), 0)
			is.Equal(iss.ReleaseExpired(clock.At(4*time.Second-1)), 0)
			is.Equal(iss.ReleaseExpired(clock.At(4*time.Second)), 1)
			is.Equal(iss.ReleasedRanges()[0].HandoverToken, "")
		})
	}
}

// Guards against a sound release that waits for the end of the grants of an earlier
// process although it names the fence.
func TestReleaseAtFenceAfterRestart(t *testing.T) {
	is := is.New(t)
	iss := newIssuerAfterRestart(4 * time.Second)
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	iss.HandleReport(clock.At(0), grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, Fence: 3, HandoverToken: "h"}}})
	is.Equal(iss.ReleasedRanges()[0].HandoverToken, "h")
}

// Guards against an earlier release of the same keys that counts for a grant which the
// target had not got when it sent the report, and against its token.
func TestEarlierReleaseOfTheSameKeys(t *testing.T) {
	is := is.New(t)
	iss := newIssuer()
	iss.SetLease(clock.At(0), 4*time.Second)
	iss.HandleReport(clock.At(0), grant.RangeReport{}) // grants the range
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	iss.HandleReport(clock.At(0), grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, HandoverToken: "old"}}})
	is.Equal(len(iss.ReleasedRanges()), 0) // sent before the answer with the grant arrived
	iss.HandleReport(clock.At(0), grant.RangeReport{Held: []ranges.Range{selfRange(0, 99, 3)}})
	iss.HandleReport(clock.At(0), grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, HandoverToken: "old"}, {From: 0, To: 99, HandoverToken: "new"}}})
	is.Equal(iss.ReleasedRanges()[0].HandoverToken, "new")
}

// Guards against the same for a range that the target has held before, and that was granted
// again after its grant had expired.
func TestReleaseBeforeRenewedGrant(t *testing.T) {
	is := is.New(t)
	iss := newIssuer()
	iss.SetLease(clock.At(0), 20*time.Second)
	iss.HandleReport(clock.At(0), grant.RangeReport{})
	iss.HandleReport(clock.At(time.Second), grant.RangeReport{Held: []ranges.Range{selfRange(0, 99, 3)}})
	iss.HandleReport(clock.At(12*time.Second), grant.RangeReport{}) // it has expired, and is granted again
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetRanges([]ranges.Range{releasing, {From: 100, To: ranges.LastKey}})
	iss.HandleReport(clock.At(12*time.Second), grant.RangeReport{Released: []ranges.Range{{From: 0, To: 99, HandoverToken: "old"}}})
	is.Equal(len(iss.ReleasedRanges()), 0)
}

// Guards against a range that is not released for as long as its target gets grants of
// others: after a restart, only the end of the earlier grants shows that it is not held.
func TestRangeExpiresBesideOthers(t *testing.T) {
	is := is.New(t)
	iss := newIssuerAfterRestart(4 * time.Second)
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	other := selfRange(100, ranges.LastKey, 4)
	iss.SetRanges([]ranges.Range{releasing, other})
	for at := range 4 {
		now := clock.At(time.Duration(at) * time.Second)
		iss.SetLease(now, 4*time.Second)
		iss.HandleReport(now, grant.RangeReport{Held: []ranges.Range{other}})
		is.Equal(iss.ReleaseExpired(now), 0)
	}
	is.Equal(iss.ReleaseExpired(clock.At(4*time.Second)), 1)
}

// Guards against a range that is released while its target still works on it and gets
// grants of other ranges, and against one that is never released if the target is silent.
func TestRangeStillInUseIsNotReleased(t *testing.T) {
	is := is.New(t)
	iss := newIssuer()
	iss.SetLease(clock.At(0), 4*time.Second)
	iss.HandleReport(clock.At(0), grant.RangeReport{})
	releasing := selfRange(0, 99, 3)
	releasing.Releasing = true
	iss.SetRanges([]ranges.Range{releasing, selfRange(100, ranges.LastKey, 4)})
	for at := range 8 {
		now := clock.At(time.Duration(at) * time.Second)
		iss.SetLease(now, 4*time.Second)
		iss.HandleReport(now, grant.RangeReport{Held: []ranges.Range{selfRange(50, 60, 3)}})
		is.Equal(iss.ReleaseExpired(now), 0)
	}
	is.Equal(iss.ReleaseExpired(clock.At(10*time.Second)), 0)
	is.Equal(iss.ReleaseExpired(clock.At(11*time.Second)), 1)
}
