package fleet

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/coord/ranges"
)

// Config configures a Leader. The lease must be the same on all replicas, because
// a new leader waits for the leases that its predecessor granted.
type Config struct {
	// Lease is the time for which a target may serve its ranges after a renewal.
	// A longer lease survives longer elections, but the keys of a lost target
	// are not served until its lease has ended.
	Lease time.Duration
	// LeaseMargin is added to the lease before the ranges of a holder that no
	// longer renews are assigned to others. It covers the drift of the holder's
	// clock.
	LeaseMargin time.Duration
	// MemberTimeout is the time without a renewal after which a member is
	// removed from the directory.
	MemberTimeout time.Duration
	// MemberGracePeriod is the time in which further members are expected to
	// renew. The directory counts as complete, and ranges are rebalanced, once it
	// has passed since the start of the term or the end of the last stall. A new
	// key space is assigned once it has passed since the service was first seen
	// in this term.
	MemberGracePeriod time.Duration
	// StallThreshold is the time between two calls of Tick above which the
	// process counts as stalled. Renewals may then have arrived that are not
	// handled yet, so no holder is declared lost for another whole lease.
	StallThreshold time.Duration
	// BalanceInterval is the time between two attempts to rebalance. A shorter
	// one reacts to hot keys sooner and moves ranges more often.
	BalanceInterval time.Duration
	// Ranges configures the division of key spaces.
	Ranges ranges.Config
	// Quarantine configures the refusal of requests that end targets.
	Quarantine quarantine.Config
	// Quota configures the division of the limits of accounts.
	Quota quota.Config
}

const (
	// driftMarginDivisor divides the lease to get the margin for clock drift:
	// clocks run up to 2% slow, doubled because two clocks take part.
	driftMarginDivisor = 25 // 1/25 = 4%
	// timerMargin covers the granularity of timers.
	timerMargin = 200 * time.Millisecond
)

// DefaultConfig returns the default configuration for the given lease.
func DefaultConfig(lease time.Duration) Config {
	return Config{
		Lease: lease, LeaseMargin: lease/driftMarginDivisor + timerMargin,
		MemberTimeout: 2500 * time.Millisecond, MemberGracePeriod: 2 * time.Second,
		StallThreshold: 500 * time.Millisecond, BalanceInterval: time.Second,
		Ranges: ranges.DefaultConfig(), Quarantine: quarantine.DefaultConfig(), Quota: quota.DefaultConfig(),
	}
}

// Leader makes the decisions of the control leader: it handles the renewals of
// processes, keeps the directory of members, and plans the assignment of key
// ranges. Its own state is volatile and starts anew with each term; what must
// survive is in State. It is not safe for concurrent use.
//
// Invariant: once this term has proposed to take the ranges of a lost holder,
// that holder gets no lease until the applied state shows that it holds none.
// A proposal that appears to have failed may still be committed.
type Leader struct {
	cfg     Config
	leading bool
	term    uint64
	// observedSince is the start of the term or the end of the last stall.
	// Earlier leases and renewals may be unknown, so each holder counts as having
	// got a lease at this time.
	observedSince clock.Reading
	lastTick      clock.Reading
	members       map[string]*member // by process
	directory     directory
	memberList    []Member // the directory, sorted by process; replaced and never changed
	// lastGrant is the time of each holder's last lease.
	lastGrant map[ranges.Holder]clock.Reading
	// ended are the holders that their process reported as ended.
	ended map[ranges.Holder]bool
	// lossProposed are the lost holders whose ranges a command of this term
	// reclaims, until it is applied.
	lossProposed map[ranges.Holder]bool
	// released are the ranges that each holder reported as released.
	released map[ranges.Holder][]ReleasedRange
	services map[string]*serviceState // by name
	notices  targetNotices
	// quarantine counts the crashes that processes report.
	quarantine *quarantine.Registry
	quota      quotaLeader
	departures departureLeader
}

type member struct {
	Member
	lastRenewal clock.Reading
	capacity    float64
	utilization float64
}

// serviceState is the leader's volatile state of one service.
type serviceState struct {
	firstSeen     clock.Reading // the first plan for the service, or renewal of one of its members, in this term
	lastRebalance clock.Reading
	rates         map[string][]BucketRate // last reported, by process; retained for the whole term
}

// NewLeader returns a Leader whose replica is a follower.
func NewLeader(cfg Config) *Leader { return &Leader{cfg: cfg} }

// BecomeLeader starts a term. The caller must have applied the first log entry
// of that term before.
func (l *Leader) BecomeLeader(now clock.Reading, term uint64) {
	*l = Leader{
		cfg: l.cfg, leading: true, term: term, observedSince: now, lastTick: now,
		members: map[string]*member{}, lastGrant: map[ranges.Holder]clock.Reading{},
		ended: map[ranges.Holder]bool{}, lossProposed: map[ranges.Holder]bool{},
		released: map[ranges.Holder][]ReleasedRange{}, services: map[string]*serviceState{}, notices: targetNotices{},
		quarantine: quarantine.NewRegistry(l.cfg.Quarantine),
	}
}

// BecomeFollower ends the term and discards its volatile state.
func (l *Leader) BecomeFollower() { *l = Leader{cfg: l.cfg} }

// IsLeader reports whether BecomeLeader was called and the term has not ended.
func (l *Leader) IsLeader() bool { return l.leading }

// Renew handles the renewal of a process. The reply has the changes since the
// revisions that the process has applied. It has a lease if the process has a
// target whose loss this term has not proposed. Renew does not set Compressed and
// Replicas. It must be called only while IsLeader is true.
func (l *Leader) Renew(now clock.Reading, st *State, r Renewal) RenewalReply {
	unknown := l.notices.record(now, r)
	if h := r.Member.Holder(); r.Member.Condition != Draining && (unknown.leaving || st.departed(h)) {
		unknown.leaving, r.Member.Condition = true, Draining
	}
	l.recordRenewal(now, r)
	current := st.Revisions()
	l.recordQuarantine(now, r.Quarantine)
	current.Directory, current.Term, current.Quarantine = l.directory.revision, l.term, l.quarantine.Revision()
	reply := RenewalReply{Revisions: current, MembersComplete: l.membersComplete(now), TargetLeaving: unknown.leaving, TargetLimit: unknown.limit}
	if r.NeedsDepartures {
		reply.Departures = st.DeparturesOf(r.Member.Process)
	}
	reply.Patch, reply.Document = st.DocumentSince(r.Revisions.Document)
	if r.Revisions.Drain != current.Drain || r.Revisions.Document == 0 {
		drained := st.Drained()
		reply.Drained = &drained
	}
	reply.Keyspaces = st.KeyspacesSince(r.Revisions.Ranges)
	if r.Revisions.Term != l.term {
		reply.Members = &MembersUpdate{Full: true, Members: l.memberList}
	} else if r.Revisions.Directory != current.Directory {
		var ok bool
		if reply.Members, ok = l.directory.since(r.Revisions.Directory); !ok {
			reply.Members = &MembersUpdate{Full: true, Members: l.memberList}
		}
	}
	if r.Revisions.Term != l.term || r.Revisions.Quarantine != current.Quarantine {
		entries := l.quarantine.Entries(now)
		reply.Quarantine = &entries
	}
	reply.Quota = l.renewQuota(now, st, r)
	if h := r.Member.Holder(); !h.IsZero() && !l.lossProposed[h] && !l.ended[h] {
		l.lastGrant[h] = now
		reply.Lease = l.cfg.Lease
	}
	return reply
}

// membersComplete reports whether the grace period has passed since the start of
// the term or the end of the last stall. Every running process is expected to have
// renewed by then.
func (l *Leader) membersComplete(now clock.Reading) bool {
	return now.MonoSince(l.observedSince) >= l.cfg.MemberGracePeriod
}

// recordRenewal updates the leader's state by a renewal.
func (l *Leader) recordRenewal(now clock.Reading, r Renewal) {
	m := l.members[r.Member.Process]
	if m == nil {
		m = &member{}
		l.members[r.Member.Process] = m
	}
	if m.Member != r.Member {
		m.Member = r.Member
		l.directory.record(r.Member, false)
		l.rebuildMemberList()
	}
	m.lastRenewal = now
	m.capacity, m.utilization = r.Capacity, r.Utilization
	for _, h := range r.EndedHolders {
		l.ended[h] = true
	}
	h := r.Member.Holder()
	if h.IsZero() {
		return
	}
	delete(l.ended, h) // its process reports it as running
	l.released[h] = r.Released
	s := l.service(now, r.Member.Service)
	if r.Rates != nil {
		s.rates[r.Member.Process] = r.Rates
	}
}

// service returns the state of a service and creates it if needed.
func (l *Leader) service(now clock.Reading, name string) *serviceState {
	s := l.services[name]
	if s == nil {
		s = &serviceState{firstSeen: now, lastRebalance: now, rates: map[string][]BucketRate{}}
		l.services[name] = s
	}
	return s
}

// rebuildMemberList rebuilds the list of members, sorted by process.
func (l *Leader) rebuildMemberList() {
	l.memberList = make([]Member, 0, len(l.members))
	for _, m := range l.members {
		l.memberList = append(l.memberList, m.Member)
	}
	slices.SortFunc(l.memberList, func(a, b Member) int { return cmp.Compare(a.Process, b.Process) })
}

// Members returns the directory, sorted by process. Callers must not change it.
func (l *Leader) Members() []Member { return l.memberList }

// DirectoryRevision returns the number of changes of the directory in this term.
func (l *Leader) DirectoryRevision() uint64 { return l.directory.revision }

// Tick removes members that timed out and returns the commands to propose, none on
// a follower. Commands are planned from the applied state: until one is applied,
// later calls may return the same change again, from the same base revision. A
// holder whose ranges a returned command reclaims gets no lease until the applied
// state assigns it none, whether or not the command is proposed. Tick must be
// called several times a second: if two calls are more than StallThreshold apart,
// the process counts as stalled.
func (l *Leader) Tick(now clock.Reading, st *State) []Command {
	if !l.leading {
		return nil
	}
	if now.MonoSince(l.lastTick) > l.cfg.StallThreshold {
		// Renewals that arrived during the stall may not be handled yet, so the
		// time after which a holder counts as lost starts again.
		l.observedSince = now
		l.updateQuota(now, st).RecordStall(now.Mono)
	}
	l.lastTick = now
	l.removeTimedOutMembers(now)
	l.notices.prune(now)
	l.quarantine.Prune(now)
	out := l.quotaCommands(now, st)
	out = append(out, l.departures.commands(now, st, func(process string) bool { return l.members[process] != nil })...)
	doc, _ := st.Document()
	if doc == nil {
		return out
	}
	for _, s := range doc.Services {
		if s.Sharded {
			if c, ok := l.plan(now, st, s.Name); ok {
				out = append(out, c)
			}
		}
	}
	return out
}

// removeTimedOutMembers removes members without a recent renewal from the
// directory.
func (l *Leader) removeTimedOutMembers(now clock.Reading) {
	changed := false
	for process, m := range l.members {
		if now.MonoSince(m.lastRenewal) > l.cfg.MemberTimeout {
			delete(l.members, process)
			l.directory.record(m.Member, true)
			changed = true
		}
	}
	if changed {
		l.rebuildMemberList()
	}
}
