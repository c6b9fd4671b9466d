package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// simMember simulates a member's process: its leases, its table and its releases of
// units.
type simMember struct {
	sim          *sim
	id           table.MemberID
	dc           string
	service      string
	checksFences bool
	clock        simClock
	incarnation  uint64
	holder       *lease.Holder
	tbl          *table.Table
	doc          *config.Document
	revision     uint64
	leaving      bool
	down         bool
	stopped      bool
	cutOut       bool // renewals do not reach the control leader
	cutIn        bool // replies do not reach the member
	released     map[shard.Unit]uint64
	starts       int
}

func newSimMember(s *sim, i int) *simMember {
	m := &simMember{sim: s, id: table.MemberID(fmt.Sprint("m", i)), dc: []string{"a", "b", "c"}[i%3], service: "pay", checksFences: i%2 == 0}
	m.clock = newClock(s.rng)
	m.start()
	return m
}

// start begins a new incarnation without a table, document or lease.
func (m *simMember) start() {
	m.starts++
	m.down = false
	m.incarnation = m.sim.rng.Uint64() | 1
	m.holder = lease.NewHolder(lease.Default())
	m.tbl, m.doc, m.revision = table.Empty(), &config.Document{}, 0
	m.leaving = false
	m.released = map[shard.Unit]uint64{}
	boot := m.starts
	m.sim.after(m.sim.between(0, 250*time.Millisecond), func() { m.renewPeriodically(boot) })
}

func (m *simMember) crash() {
	m.down = true
	m.starts++
	m.sim.check.refresh(m)
}

// renewPeriodically sends a renewal every 250 ms until the next start or crash.
func (m *simMember) renewPeriodically(boot int) {
	if m.starts != boot {
		return
	}
	m.sim.after(250*time.Millisecond, func() { m.renewPeriodically(boot) })
	if m.clock.paused {
		return
	}
	m.renew()
}

func (m *simMember) renew() {
	r := Renewal{
		ID: m.id, Incarnation: m.incarnation, DataCentre: m.dc, PeerAddr: "127.0.0.1:1",
		Seq: m.holder.BeginRenewal(m.clock.at(m.sim.now)), Target: &Target{Service: m.service, Slots: 4, ChecksFences: m.checksFences},
		Leaving: m.leaving, TableRevision: m.tbl.Revision(), ConfigRevision: m.revision,
	}
	m.tbl.Each(func(e *table.Entry) bool {
		switch {
		case e.Owner != m.id:
		case e.Phase == table.Moving && m.released[e.Unit] == e.Epoch:
			r.Released = append(r.Released, UnitEpoch{e.Unit, e.Epoch})
		case e.Phase == table.Serving:
			for _, c := range e.SyncingCopies {
				r.Synced = append(r.Synced, CopySynced{e.Unit, e.Epoch, c})
			}
			r.Synced = append(r.Synced, CopySynced{e.Unit, e.Epoch, m.id})
		}
		return true
	})
	if !m.cutOut {
		m.sim.send(func() { m.sim.receive(m, r) })
	}
}

// receive processes a renewal at the leader and sends the reply.
func (s *sim) receive(m *simMember, r Renewal) {
	if s.leader < 0 || s.replicas[s.leader].clock.paused {
		return
	}
	l := s.replicas[s.leader]
	reply, commands := l.ctl.Renew(l.clock.at(s.now), l.state, r)
	s.propose(commands)
	if !m.cutIn {
		s.send(func() { m.handleReply(reply) })
	}
}

// handleReply processes a reply. A paused process handles it when it resumes.
func (m *simMember) handleReply(reply RenewalReply) {
	if m.clock.paused {
		m.sim.after(10*time.Millisecond, func() { m.handleReply(reply) })
		return
	}
	if m.down || reply.Incarnation != m.incarnation {
		return
	}
	defer m.sim.check.refresh(m)
	if reply.Table != nil {
		next, err := m.tbl.Apply(*reply.Table)
		if err != nil {
			return
		}
		m.tbl = next
	}
	if reply.Config != nil && reply.Config.Revision > m.revision {
		m.revision, m.doc = reply.Config.Revision, &config.Document{}
		if err := json.Unmarshal(reply.Config.Document, m.doc); err != nil {
			panic(err)
		}
	}
	m.sim.check.checkRevisions(m)
	switch reply.Status {
	case RenewalFenced:
		m.holder.Revoke()
		m.incarnation = m.sim.rng.Uint64() | 1
		m.leaving = false
	case RenewalGranted:
		if m.tbl.Revision() >= reply.TableRevision {
			m.holder.RecordGrant(reply.Seq, m.clock.at(m.sim.now))
		}
	}
	m.beginReleases()
	if reply.MayStop && m.leaving && !m.stopped {
		m.stopped = true
		m.crash()
	}
}

// beginReleases schedules the end of the work in progress on moving units.
func (m *simMember) beginReleases() {
	boot := m.starts
	m.tbl.Each(func(e *table.Entry) bool {
		if e.Owner == m.id && e.Phase == table.Moving && m.released[e.Unit] != e.Epoch {
			m.sim.after(m.sim.between(0, 100*time.Millisecond), func() { m.release(boot, e) })
		}
		return true
	})
}

func (m *simMember) release(boot int, e *table.Entry) {
	if m.starts != boot || m.clock.paused {
		return
	}
	now := m.tbl.Entry(e.Unit)
	if now == nil || now.Epoch != e.Epoch || now.Phase != table.Moving || now.Owner != m.id || m.released[e.Unit] == e.Epoch {
		return
	}
	m.released[e.Unit] = e.Epoch
	m.sim.check.refresh(m)
	m.renew()
}

// mayServe reports whether the member may work on a key according to its table, and
// returns the unit. A moving unit may have work in progress until it is released.
func (m *simMember) mayServe(key string) (shard.Unit, bool) {
	service := m.doc.Service(m.service)
	if service == nil {
		return shard.Unit{}, false
	}
	name, ok := service.KeyspaceOf(key)
	if !ok {
		return shard.Unit{}, false
	}
	e := m.tbl.Lookup(name, shard.Hash(key))
	if e == nil || e.Owner != m.id {
		return shard.Unit{}, false
	}
	if e.Phase == table.Serving || (e.Phase == table.Moving && m.released[e.Unit] != e.Epoch) {
		return e.Unit, true
	}
	return e.Unit, false
}

// leaseEnd returns the true time at which the member's lease ends. The process must
// not be paused, so that its clocks run.
func (m *simMember) leaseEnd() time.Duration {
	now := m.sim.now
	left := m.holder.Remaining(m.clock.at(now))
	low, high := now, now+2*left
	for high-low > time.Microsecond {
		mid := (low + high) / 2
		if m.holder.Valid(m.clock.at(mid)) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

var simKeys = func() []string {
	var out []string
	for i := range 12 {
		out = append(out, fmt.Sprint("a", i), fmt.Sprint("b", i))
	}
	slices.Sort(out)
	return out
}()
