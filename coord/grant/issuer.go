// Package grant keeps account, in the process beside a target, of the key
// ranges that the target holds. Grants travel in the answers to the target's
// announcements and never outlast the lease of the control group.
package grant

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
)

// Config tunes an Issuer.
type Config struct {
	// MaxGrant is the longest time that one grant may name.
	MaxGrant time.Duration
	// MaxClockDrift is the part of a grant by which the target's clock may be
	// slow; grants are shorter by it.
	MaxClockDrift float64
	// MinGrant is the shortest grant that is worth giving.
	MinGrant time.Duration
	// MaxBytes is the room for rows in the answer to an announcement. A row
	// takes RangeBytes and its handover token. Rows that the target has not taken
	// wait for a later answer if there is no room.
	MaxBytes, RangeBytes int
}

// DefaultConfig returns the settings for targets whose clocks run at most 2%
// slow and that take answers of 4 KiB, head included. A row of three numbers
// has at most 26 bytes while fences are below ten million.
func DefaultConfig(maxHold time.Duration) Config {
	return Config{MaxGrant: maxHold, MaxClockDrift: 0.02, MinGrant: 100 * time.Millisecond, MaxBytes: 3800, RangeBytes: 26}
}

// RangeReport is what a target says of its rows. The fences of Released are
// not known.
type RangeReport struct {
	// Held are the rows that the target holds or still works on.
	Held []ranges.Range
	// Released are rows that it gave back, with their handover tokens.
	Released []ranges.Range
}

// Grant answers an announcement.
type Grant struct {
	Ranges []ranges.Range
	// Duration counts from the sending of the announcement. Zero renews nothing.
	Duration time.Duration
	// Deferred is the number of rows that wait for a later grant.
	Deferred int
}

// Issuer is the account of one target. It is not safe for concurrent use.
type Issuer struct {
	cfg      Config
	holder   ranges.Holder
	rows     []ranges.Range // the key space of the target's service
	leaseEnd time.Duration
	granted  []ranges.Range
	until    time.Duration
	// heldUntil is the time from which the target certainly holds nothing.
	heldUntil time.Duration
	released  map[key]fleet.ReleasedRange
	unlisted  map[key]int
}

// key names one row at one fence.
type key struct {
	from, to uint16
	fence    uint64
}

func keyOf(r ranges.Range) key { return key{r.From, r.To, r.Fence} }

// quietAnnouncements is the number of announcements in a row that do not list
// a row after which it counts as given back without a token. The first may
// have been sent before the answer that left the row out.
const quietAnnouncements = 2

// New returns the issuer of a holder that announces itself now. An earlier
// life of the process may have granted rows to it just before.
func New(cfg Config, h ranges.Holder, now clock.Reading) *Issuer {
	l := &Issuer{cfg: cfg, holder: h, released: map[key]fleet.ReleasedRange{}, unlisted: map[key]int{}}
	l.mayHold(now, cfg.MaxGrant)
	return l
}

// mayHold notes a grant. The target's clock may be slow.
func (l *Issuer) mayHold(now clock.Reading, d time.Duration) {
	l.heldUntil = max(l.heldUntil, now.Mono+time.Duration(float64(d)*(1+l.cfg.MaxClockDrift)))
}

// GrantsExpired reports whether every grant has certainly run out. A target
// that has ended, or is cut off from its process, cannot give rows back.
func (l *Issuer) GrantsExpired(now clock.Reading) bool { return now.Mono >= l.heldUntil }

// HasKeyspace reports whether the target's service has a key space.
func (l *Issuer) HasKeyspace() bool { return len(l.rows) > 0 }

// ReleaseExpired counts the rows that are asked back as released, without a handover
// token, if the target holds nothing any more. It returns their number.
func (l *Issuer) ReleaseExpired(now clock.Reading) int {
	if !l.GrantsExpired(now) {
		return 0
	}
	n := 0
	for _, r := range l.rows {
		if _, done := l.released[keyOf(r)]; done || r.Holder != l.holder || !r.Releasing {
			continue
		}
		l.released[keyOf(r)] = fleet.ReleasedRange{Range: r}
		n++
	}
	return n
}

// Holder returns the target that the issuer is about.
func (l *Issuer) Holder() ranges.Holder { return l.holder }

// SetRanges puts a new table into force.
func (l *Issuer) SetRanges(rows []ranges.Range) {
	l.rows = rows
	asked := map[key]bool{}
	for _, r := range rows {
		if r.Holder == l.holder && r.Releasing {
			asked[keyOf(r)] = true
		}
	}
	for k := range l.released {
		if !asked[k] {
			delete(l.released, k)
		}
	}
	for k := range l.unlisted {
		if !asked[k] {
			delete(l.unlisted, k)
		}
	}
}

// SetLease records a lease that was asked for at sent. The table that came
// with it must be in force already.
func (l *Issuer) SetLease(sent clock.Reading, d time.Duration) {
	l.leaseEnd = max(l.leaseEnd, sent.Mono+d)
}

// HandleReport takes the target's account of its rows and returns what it may
// hold from now on.
func (l *Issuer) HandleReport(now clock.Reading, a RangeReport) Grant {
	l.noteReleased(a)
	left := l.leaseEnd - now.Mono
	d := min(time.Duration(float64(left)*(1-l.cfg.MaxClockDrift)), l.cfg.MaxGrant)
	if d < l.cfg.MinGrant {
		return Grant{}
	}
	g := Grant{Duration: d}
	g.Ranges, g.Deferred = l.fit(a)
	l.granted, l.until = g.Ranges, now.Mono+d
	l.mayHold(now, d)
	return g
}

// fit returns the rows for the next grant, in order: all that the target has
// taken, and as many of the others as there is room for.
func (l *Issuer) fit(a RangeReport) (rows []ranges.Range, deferred int) {
	taken := func(r ranges.Range) bool {
		return slices.ContainsFunc(a.Held, func(h ranges.Range) bool { return h.Fence == r.Fence && h.From <= r.From && r.To <= h.To })
	}
	room := l.cfg.MaxBytes
	for _, r := range l.rows {
		if r.Holder == l.holder && !r.Releasing && taken(r) {
			room -= l.cfg.RangeBytes
		}
	}
	for _, r := range l.rows {
		if r.Holder != l.holder || r.Releasing {
			continue
		}
		if taken(r) {
			// The token is needed once.
			r.HandoverToken = ""
		} else if need := l.cfg.RangeBytes + len(r.HandoverToken); need <= room {
			room -= need
		} else {
			deferred++
			continue
		}
		rows = append(rows, r)
	}
	return rows, deferred
}

func (l *Issuer) noteReleased(a RangeReport) {
	for _, r := range l.rows {
		if r.Holder != l.holder || !r.Releasing {
			continue
		}
		k := keyOf(r)
		if _, done := l.released[k]; done {
			continue
		}
		if slices.ContainsFunc(a.Held, func(h ranges.Range) bool { return h.From <= r.To && r.From <= h.To }) {
			l.unlisted[k] = 0
			continue
		}
		i := slices.IndexFunc(a.Released, func(g ranges.Range) bool { return g.From <= r.From && r.To <= g.To })
		if i >= 0 {
			l.released[k] = fleet.ReleasedRange{Range: r, HandoverToken: a.Released[i].HandoverToken}
			continue
		}
		if l.unlisted[k]++; l.unlisted[k] >= quietAnnouncements {
			l.released[k] = fleet.ReleasedRange{Range: r}
		}
	}
}

// ReleasedRanges returns the rows to report to control.
func (l *Issuer) ReleasedRanges() []fleet.ReleasedRange {
	out := make([]fleet.ReleasedRange, 0, len(l.released))
	for _, r := range l.released {
		out = append(out, r)
	}
	return out
}

// MayServe reports whether the target may begin a request on a key now: the last
// grant names it and has not run out. A key that is asked back is served until
// an answer to an announcement leaves it out.
func (l *Issuer) MayServe(now clock.Reading, k uint16) bool {
	if now.Mono >= l.until || now.Mono >= l.leaseEnd {
		return false
	}
	g, ok := ranges.Find(l.granted, k)
	if !ok {
		return false
	}
	r, ok := ranges.Find(l.rows, k)
	return ok && r.Holder == l.holder && r.Fence == g.Fence
}

// IsAssigned reports whether the table gives a key to the target, granted or not.
func (l *Issuer) IsAssigned(k uint16) bool {
	r, ok := ranges.Find(l.rows, k)
	return ok && r.Holder == l.holder && !r.Releasing
}
