package fleet

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// Config tunes a Leader. The lease must be the same on all replicas.
type Config struct {
	// Lease is the time for which a target may hold its rows after a renewal.
	// A longer lease survives longer elections; the keys of a lost target wait
	// for its end.
	Lease time.Duration
	// Margin is added to the lease before rows of a silent holder change hands.
	// It covers the drift of the holder's clock.
	Margin time.Duration
	// Silence is the time without a renewal after which a member leaves the
	// directory.
	Silence time.Duration
	// Settle is the time after the begin of a term, or the first member of a
	// service, in which others are still expected.
	Settle time.Duration
	// PauseLimit is the time between two calls of Tick from which renewals may
	// wait unread; losses then wait for a whole lease.
	PauseLimit time.Duration
	// BalanceInterval is the time between two reviews of the balance. A shorter
	// one follows hot keys sooner and moves rows more often.
	BalanceInterval time.Duration
	// Ranges tunes the division of key spaces.
	Ranges ranges.Config
}

const (
	// marginShare is the part of the lease that Margin adds for clocks that run
	// up to 2% slow, doubled because two clocks take part.
	marginShare = 25 // 1/25 = 4%
	// baseMargin covers the granularity of timers.
	baseMargin = 200 * time.Millisecond
)

// DefaultConfig returns the settings for a lease.
func DefaultConfig(lease time.Duration) Config {
	return Config{
		Lease: lease, Margin: lease/marginShare + baseMargin,
		Silence: 2500 * time.Millisecond, Settle: 2 * time.Second,
		PauseLimit: 500 * time.Millisecond, BalanceInterval: time.Second,
		Ranges: ranges.DefaultConfig(),
	}
}

// Leader makes the decisions of the control leader. Everything that it knows
// besides State is volatile. It is not safe for concurrent use.
//
// Invariant: no lease is granted to a holder once the loss of its rows was
// proposed in this term, until the table shows them free: a proposal that
// seems lost may still be committed.
type Leader struct {
	cfg       Config
	leading   bool
	term      uint64
	since     clock.Reading
	ticked    clock.Reading
	members   map[string]*member // by process
	directory directory
	listed    []Member
	granted   map[ranges.Holder]clock.Reading
	ended     map[ranges.Holder]bool
	losing    map[ranges.Holder]bool
	released  map[ranges.Holder][]Released
	services  map[string]*serviceView
}

type member struct {
	Member
	seen     clock.Reading
	capacity float64
	busy     float64
}

// serviceView is what the leader knows of one service's load.
type serviceView struct {
	first    clock.Reading // the first member of this term
	balanced clock.Reading
	rates    map[string][]BucketRate // by process
}

// NewLeader returns a leader that does not lead.
func NewLeader(cfg Config) *Leader { return &Leader{cfg: cfg} }

// Lead starts a term. The caller has applied the first entry of its own term.
func (l *Leader) Lead(now clock.Reading, term uint64) {
	*l = Leader{
		cfg: l.cfg, leading: true, term: term, since: now, ticked: now,
		members: map[string]*member{}, granted: map[ranges.Holder]clock.Reading{},
		ended: map[ranges.Holder]bool{}, losing: map[ranges.Holder]bool{},
		released: map[ranges.Holder][]Released{}, services: map[string]*serviceView{},
	}
}

// Follow ends a term.
func (l *Leader) Follow() { *l = Leader{cfg: l.cfg} }

// Leading reports whether a term is under way.
func (l *Leader) Leading() bool { return l.leading }

// Renew takes a process's report and answers it.
func (l *Leader) Renew(now clock.Reading, st *State, r Renewal) Reply {
	l.note(now, r)
	known := st.Revisions()
	known.Directory, known.Term = l.directory.number, l.term
	reply := Reply{Known: known, Settled: l.settled(now)}
	reply.Patch, reply.Document = st.DocumentSince(r.Known.Document)
	if r.Known.Drain != known.Drain || r.Known.Document == 0 {
		drained := st.Drained()
		reply.Drained = &drained
	}
	reply.Spaces = st.SpacesSince(r.Known.Rows)
	if r.Known.Term != l.term {
		reply.Members = &MembersUpdate{Whole: true, Members: l.listed}
	} else if r.Known.Directory != known.Directory {
		var ok bool
		if reply.Members, ok = l.directory.since(r.Known.Directory); !ok {
			reply.Members = &MembersUpdate{Whole: true, Members: l.listed}
		}
	}
	if h := r.Member.Holder(); !h.IsZero() && !l.losing[h] && !l.ended[h] {
		l.granted[h] = now
		reply.Lease = l.cfg.Lease
	}
	return reply
}

// settled reports whether every process that is up has renewed in this term.
func (l *Leader) settled(now clock.Reading) bool { return now.MonoSince(l.since) >= l.cfg.Settle }

func (l *Leader) note(now clock.Reading, r Renewal) {
	m := l.members[r.Member.Process]
	if m == nil {
		m = &member{}
		l.members[r.Member.Process] = m
	}
	if m.Member != r.Member {
		m.Member = r.Member
		l.directory.add(r.Member, false)
		l.list()
	}
	m.seen = now
	m.capacity, m.busy = r.Capacity, r.Busy
	for _, h := range r.Ended {
		l.ended[h] = true
	}
	h := r.Member.Holder()
	if h.IsZero() {
		return
	}
	delete(l.ended, h) // its process sees it alive
	l.released[h] = r.Released
	v := l.service(now, r.Member.Service)
	if r.Rates != nil {
		v.rates[r.Member.Process] = r.Rates
	}
}

func (l *Leader) service(now clock.Reading, name string) *serviceView {
	v := l.services[name]
	if v == nil {
		v = &serviceView{first: now, balanced: now, rates: map[string][]BucketRate{}}
		l.services[name] = v
	}
	return v
}

// list renews the list of members.
func (l *Leader) list() {
	l.listed = make([]Member, 0, len(l.members))
	for _, m := range l.members {
		l.listed = append(l.listed, m.Member)
	}
	slices.SortFunc(l.listed, func(a, b Member) int { return cmp.Compare(a.Process, b.Process) })
}

// Members returns the directory.
func (l *Leader) Members() []Member { return l.listed }

// Directory returns the number of the directory's last change.
func (l *Leader) Directory() uint64 { return l.directory.number }

// Tick returns the commands that are due. It is called several times a second.
func (l *Leader) Tick(now clock.Reading, st *State) []Command {
	if !l.leading {
		return nil
	}
	if now.MonoSince(l.ticked) > l.cfg.PauseLimit {
		// Renewals of the pause are still unread: the wait for losses starts anew.
		l.since = now
	}
	l.ticked = now
	l.forget(now)
	doc, _ := st.Document()
	if doc == nil {
		return nil
	}
	var out []Command
	for _, s := range doc.Services {
		if s.Sharded {
			if c, ok := l.plan(now, st, s.Name); ok {
				out = append(out, c)
			}
		}
	}
	return out
}

// forget removes silent members from the directory.
func (l *Leader) forget(now clock.Reading) {
	changed := false
	for process, m := range l.members {
		if now.MonoSince(m.seen) > l.cfg.Silence {
			delete(l.members, process)
			l.directory.add(m.Member, true)
			changed = true
		}
	}
	if changed {
		l.list()
	}
}

// plan decides about the rows of one service.
func (l *Leader) plan(now clock.Reading, st *State, service string) (Command, bool) {
	space := st.Space(service)
	v := l.service(now, service)
	l.tidy(st)
	rows, freed := ranges.Free(space.Rows, func(h ranges.Holder) bool { return l.lost(now, h) })
	for _, r := range space.Rows {
		if !r.Holder.IsZero() && l.lost(now, r.Holder) {
			l.losing[r.Holder] = true
		}
	}
	drained := st.Drained()
	candidates := l.candidates(service, drained)
	rows, returned := l.takeReleased(rows)
	vacated := false
	if len(candidates) > 0 {
		rows, vacated = ranges.Vacate(rows, func(h ranges.Holder) bool { return l.leaves(h, drained) })
	}
	load := v.load()
	assigned := false
	if space.Revision != 0 || now.MonoSince(v.first) >= l.cfg.Settle {
		rows, assigned = ranges.Assign(rows, candidates, load, l.cfg.Ranges)
	}
	balanced := false
	if l.settled(now) && now.MonoSince(v.balanced) >= l.cfg.BalanceInterval {
		v.balanced = now
		rows, balanced = ranges.Rebalance(rows, candidates, load, l.cfg.Ranges)
	}
	if !freed && !returned && !vacated && !assigned && !balanced {
		return Command{}, false
	}
	return Command{ReplaceRows: &ReplaceRows{Service: service, Base: space.Revision, Rows: rows}}, true
}

// lost reports whether a holder certainly holds nothing: it has ended, or its
// lease has run out.
func (l *Leader) lost(now clock.Reading, h ranges.Holder) bool {
	if l.ended[h] || l.losing[h] || l.succeeded(h) {
		return true
	}
	last, ok := l.granted[h]
	if !ok || last.Mono < l.since.Mono {
		last = l.since
	}
	return now.MonoSince(last) > l.cfg.Lease+l.cfg.Margin
}

// succeeded reports whether a later start of a target stands in the place of a
// holder: one target runs beside each process. It spares the wait for a lease
// where the process itself was restarted and does not know the earlier one.
func (l *Leader) succeeded(h ranges.Holder) bool {
	m := l.members[h.Process]
	return m != nil && m.Target != "" && m.Life > h.Life
}

// tidy allows leases again to holders whose rows the table shows free.
func (l *Leader) tidy(st *State) {
	if len(l.losing) == 0 {
		return
	}
	holding := map[ranges.Holder]bool{}
	for _, space := range st.s.Spaces {
		for _, r := range space.Rows {
			holding[r.Holder] = true
		}
	}
	for h := range l.losing {
		if !holding[h] {
			delete(l.losing, h)
			delete(l.granted, h)
		}
	}
}

func (l *Leader) takeReleased(rows []ranges.Row) ([]ranges.Row, bool) {
	changed := false
	for h, list := range l.released {
		for _, rel := range list {
			rel.Row.Holder = h
			next, ok := ranges.Released(rows, rel.Row, rel.Handover)
			rows, changed = next, changed || ok
		}
	}
	return rows, changed
}

// leaves reports whether a holder is to give its rows back.
func (l *Leader) leaves(h ranges.Holder, drained []string) bool {
	m := l.members[h.Process]
	return m != nil && m.Holder() == h && (m.Condition != Ready || slices.Contains(drained, m.DataCentre))
}

// candidates returns the holders that may take rows of a service.
func (l *Leader) candidates(service string, drained []string) []ranges.Candidate {
	var out []ranges.Candidate
	for _, m := range l.listed {
		h := m.Holder()
		if h.IsZero() || m.Service != service || m.Condition != Ready || m.Leaving ||
			slices.Contains(drained, m.DataCentre) || l.losing[h] || l.ended[h] {
			continue
		}
		c := ranges.Candidate{Holder: h, Slots: m.Slots}
		if r := l.members[m.Process]; r != nil {
			c.Capacity, c.Busy = r.capacity, r.busy
		}
		out = append(out, c)
	}
	return out
}

// load adds up the reports of all processes.
func (v *serviceView) load() *ranges.Load {
	var load ranges.Load
	for _, list := range v.rates {
		for _, b := range list {
			if b.Bucket >= 0 && b.Bucket < ranges.Buckets && b.Rate > 0 {
				load[b.Bucket] += b.Rate
			}
		}
	}
	return &load
}
