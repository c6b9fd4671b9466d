package ringdetector

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Detector is the failure detector of one member of the ring. It is not safe for
// concurrent use. The actions that a method returns are to be carried out by the
// caller.
type Detector struct {
	cfg Config
	// members are the members that are not suspected, in ascending order, including
	// this one.
	members []table.MemberID
	// generations are the highest known generations, including those of failed
	// members.
	generations   map[table.MemberID]uint64
	failed        map[table.MemberID]bool
	successor     table.MemberID
	lastAck       clock.Reading
	lastHeartbeat clock.Reading
	lastTick      clock.Reading
	actions       []Action
}

// NewDetector returns the detector of cfg.Self in a ring of members, which must
// include cfg.Self.
func NewDetector(cfg Config, members []table.MemberID, now clock.Reading) *Detector {
	d := &Detector{
		cfg: cfg, members: slices.Sorted(slices.Values(members)), lastTick: now,
		generations: map[table.MemberID]uint64{}, failed: map[table.MemberID]bool{},
	}
	d.connect(now)
	return d
}

// Successor returns the member that this one checks, or the empty id if it is
// alone in the ring.
func (d *Detector) Successor() table.MemberID { return d.successor }

// Members returns the members that are not suspected, including this one, in
// ring order.
func (d *Detector) Members() []table.MemberID { return slices.Clone(d.members) }

// connect selects the successor: the next member that is not suspected.
func (d *Detector) connect(now clock.Reading) {
	next := table.MemberID("")
	if len(d.members) > 1 {
		i, _ := slices.BinarySearch(d.members, d.cfg.Self)
		next = d.members[(i+1)%len(d.members)]
	}
	if next != d.successor {
		d.successor, d.lastAck, d.lastHeartbeat = next, now, clock.Reading{}
	}
}

// Tick checks the successor and returns the actions that are due: heartbeats,
// and the suspicion of a successor that did not answer in time. It has to be
// called more often than once in Config.Period: a longer time since the last
// call counts as a pause of this member.
func (d *Detector) Tick(now clock.Reading) []Action {
	d.actions = nil
	if now.Since(d.lastTick) > d.cfg.Period {
		// This member was paused itself, so that the time without an answer does not
		// show a failure of its successor.
		d.lastAck = now
	}
	d.lastTick = now
	if d.successor == "" {
		return nil
	}
	if now.Since(d.lastAck) > d.cfg.Timeout {
		d.suspect(now)
	}
	if d.successor != "" && (d.lastHeartbeat.IsZero() || now.Since(d.lastHeartbeat) >= d.cfg.Period) {
		d.lastHeartbeat = now
		d.send(d.successor, Message{Kind: Heartbeat})
	}
	return d.actions
}

// suspect removes the successor from the ring and notifies all members.
func (d *Detector) suspect(now clock.Reading) {
	lost := d.successor
	d.actions = append(d.actions, Suspect{Member: lost})
	d.broadcast(Message{Kind: Failed, Member: lost, Generation: d.generations[lost]})
	d.remove(lost, d.generations[lost])
	d.connect(now)
}

// Receive handles a message from another member.
func (d *Detector) Receive(now clock.Reading, m Message) []Action {
	d.actions = nil
	switch m.Kind {
	case Heartbeat:
		d.send(m.From, Message{Kind: Ack})
	case Ack:
		if m.From == d.successor {
			d.lastAck = now
		}
	case Failed:
		d.onFailed(now, m)
	case Joined:
		d.onJoined(now, m)
	}
	return d.actions
}

// onFailed removes a suspected member. If this member is the suspected one, it
// rejoins with a higher generation.
func (d *Detector) onFailed(now clock.Reading, m Message) {
	if m.Member == d.cfg.Self {
		if m.Generation >= d.generations[d.cfg.Self] {
			d.generations[d.cfg.Self] = m.Generation + 1
			d.broadcast(Message{Kind: Joined, Member: d.cfg.Self, Generation: m.Generation + 1})
		}
		return
	}
	d.remove(m.Member, m.Generation)
	d.connect(now)
}

// onJoined adds a member to the ring, unless the message is older than the last
// known state of the member.
func (d *Detector) onJoined(now clock.Reading, m Message) {
	known := d.generations[m.Member]
	if m.Generation < known || (m.Generation == known && d.failed[m.Member]) {
		return
	}
	d.generations[m.Member] = m.Generation
	delete(d.failed, m.Member)
	if i, found := slices.BinarySearch(d.members, m.Member); !found {
		d.members = slices.Insert(d.members, i, m.Member)
	}
	d.connect(now)
}

// remove takes a member out of the ring and marks it as failed, unless a later
// generation of it is known.
func (d *Detector) remove(id table.MemberID, generation uint64) {
	if generation < d.generations[id] {
		return
	}
	d.generations[id] = generation
	d.failed[id] = true
	if i, found := slices.BinarySearch(d.members, id); found {
		d.members = slices.Delete(d.members, i, i+1)
	}
}

func (d *Detector) send(to table.MemberID, m Message) {
	m.From = d.cfg.Self
	d.actions = append(d.actions, Send{To: to, Message: m})
}

// broadcast sends m to all members that are not suspected, and to a member that
// is about to be removed, so that it can rejoin.
func (d *Detector) broadcast(m Message) {
	for _, id := range d.members {
		if id != d.cfg.Self {
			d.send(id, m)
		}
	}
}
