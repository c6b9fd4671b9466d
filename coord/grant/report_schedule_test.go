package grant_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

const (
	reportInterval = 600 * time.Millisecond
	reportTimeout  = time.Second // the target ignores later answers
	maxReportDelay = 4 * time.Second
	maxGrant       = 5 * time.Second
)

// reportingTarget gets its ranges in the answers to its announcements. It waits for an
// answer, or for reportTimeout, before it sends the next announcement.
type reportingTarget struct {
	rows     []heldRow
	highest  map[uint16]uint64
	released []ranges.Range // since the last answered announcement
	sequence int
	token    int
	nextAt   time.Duration
	lateTill time.Duration // announcements are late until then
}

// heldRow is held until a time, or until workEnd if it is to be released.
type heldRow struct {
	ranges.Range
	until, workEnd time.Duration
	releasing      bool
}

// transit is an announcement or its answer on its way.
type transit struct {
	at, sent time.Duration
	sequence int
	report   grant.RangeReport
	answer   *grant.Grant
}

// reportingProcess is a sidecar process; only its target survives a restart.
type reportingProcess struct {
	holder    ranges.Holder
	target    *reportingTarget
	issuer    *grant.Issuer
	newest    int // the highest sequence that it has handled
	isolated  time.Duration
	lastLease time.Duration
	transits  []transit
}

// reportSchedule is one generated run with a leader and three processes and targets.
type reportSchedule struct {
	rng       *rand.Rand
	now       time.Duration
	keyspace  []ranges.Range
	fence     uint64
	processes []*reportingProcess
	// fences means that targets report the fences of released ranges.
	fences bool
	// earlierLease is the duration of the leases of the process before a restart. Less than
	// scheduleLease is a deliberate fault.
	earlierLease time.Duration
	moves        int
}

func newReportSchedule(seed uint64) *reportSchedule {
	s := &reportSchedule{rng: rand.New(rand.NewPCG(seed, 9)), fences: seed%3 == 0, earlierLease: scheduleLease}
	for i := range 3 {
		p := &reportingProcess{holder: ranges.Holder{Target: fmt.Sprint("t", i), Incarnation: 1, Process: fmt.Sprint("p", i)}}
		p.target = &reportingTarget{highest: map[uint16]uint64{}}
		s.processes = append(s.processes, p)
	}
	for i := range 4 {
		s.keyspace = append(s.keyspace, ranges.Range{From: uint16(i * 16384), To: uint16((i+1)*16384 - 1)})
	}
	return s
}

// start starts a process without what it knew before. The announcements that are on their
// way arrive after that, in order and before all later ones.
func (s *reportSchedule) start(p *reportingProcess) {
	wait := s.upTo(time.Second)
	for i := range p.transits {
		if t := &p.transits[i]; t.answer == nil {
			t.at = s.now + wait + time.Duration(t.sequence)
		}
	}
	p.target.lateTill = max(p.target.lateTill, s.now+wait)
	p.issuer, p.newest = grant.New(grant.DefaultConfig(maxGrant, reportInterval), p.holder, s.now+s.earlierLease), 0
}

func (s *reportSchedule) chance(p float64) bool { return s.rng.Float64() < p }

func (s *reportSchedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *reportSchedule) lead() {
	s.keyspace = slices.Clone(s.keyspace)
	for i := range s.keyspace {
		r := &s.keyspace[i]
		p := s.processes[s.rng.IntN(len(s.processes))]
		switch {
		case r.Holder.IsZero():
			s.fence++
			s.moves++
			r.Holder, r.Fence, r.Releasing = p.holder, s.fence, false
		case s.now-s.processOf(r.Holder).lastLease > scheduleLease+leaderMargin:
			r.Holder, r.Releasing, r.HandoverToken = ranges.Holder{}, false, ""
		case !r.Releasing && s.chance(0.01):
			r.Releasing = true
		}
	}
}

func (s *reportSchedule) processOf(h ranges.Holder) *reportingProcess {
	i := slices.IndexFunc(s.processes, func(p *reportingProcess) bool { return p.holder == h })
	return s.processes[i]
}

// act makes a process and its target do what is due.
func (s *reportSchedule) act(p *reportingProcess) {
	t := p.target
	restart := 0.003
	if len(p.transits) > 1 {
		restart = 0.02 // while announcements are late
	}
	if s.chance(restart) || p.issuer == nil {
		s.start(p)
	}
	if s.chance(0.003) {
		p.isolated = s.now + s.upTo(4*time.Second)
	}
	if s.now >= p.isolated && s.chance(0.2) {
		s.renew(p)
	}
	t.expire(s.now)
	if s.now >= t.nextAt {
		s.announce(p)
	}
	slices.SortStableFunc(p.transits, func(a, b transit) int { return cmp.Compare(a.at, b.at) })
	for len(p.transits) > 0 && p.transits[0].at <= s.now {
		next := p.transits[0]
		p.transits = p.transits[1:]
		if next.answer != nil {
			s.takeAnswer(t, next)
		} else {
			s.handle(p, next)
		}
	}
}

func (s *reportSchedule) renew(p *reportingProcess) {
	p.issuer.ReleaseExpired(clock.At(s.now))
	for _, r := range p.issuer.ReleasedRanges() {
		s.keyspace, _ = ranges.Release(s.keyspace, r.Range, r.HandoverToken)
	}
	p.issuer.SetRanges(s.keyspace)
	p.issuer.SetLease(clock.At(s.now), scheduleLease)
	p.lastLease = s.now
}

// announce sends the next announcement of a target; some are late, some are lost.
func (s *reportSchedule) announce(p *reportingProcess) {
	t := p.target
	t.sequence++
	t.nextAt = s.now + reportTimeout
	report := grant.RangeReport{Released: slices.Clone(t.released)}
	for _, row := range t.rows {
		report.Held = append(report.Held, row.Range)
	}
	if s.chance(0.02) {
		t.lateTill = s.now + s.upTo(3*time.Second)
	}
	delay := s.upTo(40 * time.Millisecond)
	if s.now < t.lateTill || s.chance(0.05) {
		delay = s.upTo(maxReportDelay)
	}
	if !s.chance(0.05) {
		p.transits = append(p.transits, transit{at: s.now + delay, sent: s.now, sequence: t.sequence, report: report})
	}
}

func (s *reportSchedule) handle(p *reportingProcess, a transit) {
	if a.sequence <= p.newest {
		return
	}
	p.newest = a.sequence
	g := p.issuer.HandleReport(clock.At(s.now), a.report)
	delay := s.upTo(40 * time.Millisecond)
	if s.chance(0.05) {
		delay = s.upTo(2 * time.Second)
	}
	if !s.chance(0.05) {
		p.transits = append(p.transits, transit{at: s.now + delay, sent: a.sent, sequence: a.sequence, answer: &g})
	}
}

// takeAnswer applies an answer that comes in time.
func (s *reportSchedule) takeAnswer(t *reportingTarget, a transit) {
	if s.now-a.sent > reportTimeout || a.sequence != t.sequence {
		return
	}
	t.nextAt, t.released = a.sent+reportInterval, nil
	if a.answer.Duration == 0 {
		return
	}
	until := a.sent + time.Duration(float64(a.answer.Duration)*clockSlow)
	for i := range t.rows {
		row := &t.rows[i]
		if !slices.ContainsFunc(a.answer.Ranges, func(r ranges.Range) bool { return r.Fence == row.Fence && r.From == row.From }) && !row.releasing {
			row.releasing, row.workEnd = true, min(s.now+s.upTo(600*time.Millisecond), row.until)
			t.nextAt = s.now + 100*time.Millisecond
		}
	}
	for _, r := range a.answer.Ranges {
		i := slices.IndexFunc(t.rows, func(row heldRow) bool { return row.Fence == r.Fence && row.From == r.From })
		switch {
		case i >= 0:
			t.rows[i].until = until
		case t.highest[r.From] <= r.Fence:
			t.highest[r.From] = r.Fence
			t.rows = append(t.rows, heldRow{Range: r, until: until})
		}
	}
	if t.finish(s.now, s.fences) {
		t.nextAt = s.now + 100*time.Millisecond
	}
}

// expire drops what is held no longer. An expired row is not reported as released.
func (t *reportingTarget) expire(now time.Duration) {
	t.rows = slices.DeleteFunc(t.rows, func(row heldRow) bool { return now >= row.until })
}

// finish releases the rows whose work has ended.
func (t *reportingTarget) finish(now time.Duration, fences bool) (released bool) {
	t.rows = slices.DeleteFunc(t.rows, func(row heldRow) bool {
		if !row.releasing || now < row.workEnd {
			return false
		}
		t.token++
		r := ranges.Range{From: row.From, To: row.To, HandoverToken: fmt.Sprint("token", t.token)}
		if fences {
			r.Fence = row.Fence
		}
		t.released, released = append(t.released, r), true
		return true
	})
	return released
}

// run returns a description of the first violation, or "".
func (s *reportSchedule) run() string {
	for ; s.now < 2*scheduleLength; s.now += scheduleStep {
		s.lead()
		for _, p := range s.processes {
			s.act(p)
			p.target.finish(s.now, s.fences)
		}
		for i := range s.keyspace {
			key := s.keyspace[i].From
			holders := 0
			for _, p := range s.processes {
				if slices.ContainsFunc(p.target.rows, func(row heldRow) bool { return row.From == key && s.now < row.until }) {
					holders++
				}
			}
			if holders > 1 {
				return fmt.Sprintf("%s: key %d has %d holders", s.now, key, holders)
			}
		}
	}
	return ""
}

// Guards against two targets that hold a key at the same time because a late report, of
// whatever content, counts as the release of a range that was granted after it was sent:
// with announcements and answers that are late or lost, and restarted processes.
func TestLateReportsProveNoRelease(t *testing.T) {
	moves := 0
	for seed := range uint64(3000) {
		s := newReportSchedule(seed)
		if text := s.run(); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
		moves += s.moves
	}
	if moves < 3000*20 {
		t.Errorf("ranges move %d times only", moves)
	}
}

// Guards against schedules that would not detect a process that relies on reports from
// before its start.
func TestReportSchedulesDetectForgottenGrants(t *testing.T) {
	for seed := range uint64(300) {
		s := newReportSchedule(seed)
		s.earlierLease = scheduleLease / 2
		if s.run() != "" {
			return
		}
	}
	t.Error("no schedule detects a process that forgets the grants of the earlier one")
}
