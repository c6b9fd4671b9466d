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
	// LeaseMargin is added to the lease before rows of a silent holder change hands.
	// It covers the drift of the holder's clock.
	LeaseMargin time.Duration
	// MemberTimeout is the time without a renewal after which a member leaves the
	// directory.
	MemberTimeout time.Duration
	// MemberGracePeriod is the time after the begin of a term, or the first member of a
	// service, in which others are still expected.
	MemberGracePeriod time.Duration
	// StallThreshold is the time between two calls of Tick from which renewals may
	// wait unread; losses then wait for a whole lease.
	StallThreshold time.Duration
	// BalanceInterval is the time between two reviews of the balance. A shorter
	// one follows hot keys sooner and moves rows more often.
	BalanceInterval time.Duration
	// Ranges tunes the division of key spaces.
	Ranges ranges.Config
}

const (
	// marginShare is the part of the lease that LeaseMargin adds for clocks that run
	// up to 2% slow, doubled because two clocks take part.
	marginShare = 25 // 1/25 = 4%
	// baseMargin covers the granularity of timers.
	baseMargin = 200 * time.Millisecond
)

// DefaultConfig returns the settings for a lease.
func DefaultConfig(lease time.Duration) Config {
	return Config{
		Lease: lease, LeaseMargin: lease/marginShare + baseMargin,
		MemberTimeout: 2500 * time.Millisecond, MemberGracePeriod: 2 * time.Second,
		StallThreshold: 500 * time.Millisecond, BalanceInterval: time.Second,
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
	released  map[ranges.Holder][]ReleasedRange
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

// BecomeLeader starts a term. The caller has applied the first entry of its own term.
func (l *Leader) BecomeLeader(now clock.Reading, term uint64) {
	*l = Leader{
		cfg: l.cfg, leading: true, term: term, since: now, ticked: now,
		members: map[string]*member{}, granted: map[ranges.Holder]clock.Reading{},
		ended: map[ranges.Holder]bool{}, losing: map[ranges.Holder]bool{},
		released: map[ranges.Holder][]ReleasedRange{}, services: map[string]*serviceView{},
	}
}

// BecomeFollower ends a term.
func (l *Leader) BecomeFollower() { *l = Leader{cfg: l.cfg} }

// IsLeader reports whether a term is under way.
func (l *Leader) IsLeader() bool { return l.leading }

// Renew takes a process's report and answers it.
func (l *Leader) Renew(now clock.Reading, st *State, r Renewal) RenewalReply {
	l.note(now, r)
	known := st.Revisions()
	known.Directory, known.Term = l.directory.number, l.term
	reply := RenewalReply{Revisions: known, MembersComplete: l.settled(now)}
	reply.Patch, reply.Document = st.DocumentSince(r.Revisions.Document)
	if r.Revisions.Drain != known.Drain || r.Revisions.Document == 0 {
		drained := st.Drained()
		reply.Drained = &drained
	}
	reply.Keyspaces = st.KeyspacesSince(r.Revisions.Ranges)
	if r.Revisions.Term != l.term {
		reply.Members = &MembersUpdate{Full: true, Members: l.listed}
	} else if r.Revisions.Directory != known.Directory {
		var ok bool
		if reply.Members, ok = l.directory.since(r.Revisions.Directory); !ok {
			reply.Members = &MembersUpdate{Full: true, Members: l.listed}
		}
	}
	if h := r.Member.Holder(); !h.IsZero() && !l.losing[h] && !l.ended[h] {
		l.granted[h] = now
		reply.Lease = l.cfg.Lease
	}
	return reply
}

// settled reports whether every process that is up has renewed in this term.
func (l *Leader) settled(now clock.Reading) bool {
	return now.MonoSince(l.since) >= l.cfg.MemberGracePeriod
}

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
	m.capacity, m.busy = r.Capacity, r.Utilization
	for _, h := range r.EndedHolders {
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

// DirectoryRevision returns the number of the directory's last change.
func (l *Leader) DirectoryRevision() uint64 { return l.directory.number }

// Tick returns the commands that are due. It is called several times a second.
func (l *Leader) Tick(now clock.Reading, st *State) []Command {
	if !l.leading {
		return nil
	}
	if now.MonoSince(l.ticked) > l.cfg.StallThreshold {
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
		if now.MonoSince(m.seen) > l.cfg.MemberTimeout {
			delete(l.members, process)
			l.directory.add(m.Member, true)
			changed = true
		}
	}
	if changed {
		l.list()
	}
}
