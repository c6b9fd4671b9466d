package ringdetector

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Detector is one member of the ring. It is not safe for concurrent use.
type Detector struct {
	cfg Config
	// members are the valid members, ascending, including this one.
	members []table.MemberID
	// generations are the highest known ones, of failed members too.
	generations map[table.MemberID]uint64
	failed      map[table.MemberID]bool
	successor   table.MemberID
	heard       clock.Reading
	sent        clock.Reading
	ticked      clock.Reading
	out         []Action
}

// NewDetector returns a detector in a ring of members, which includes
// cfg.Self.
func NewDetector(cfg Config, members []table.MemberID, now clock.Reading) *Detector {
	d := &Detector{
		cfg: cfg, members: slices.Sorted(slices.Values(members)), ticked: now,
		generations: map[table.MemberID]uint64{}, failed: map[table.MemberID]bool{},
	}
	d.connect(now)
	return d
}

// Successor returns the member that this one checks, or the empty id.
func (d *Detector) Successor() table.MemberID { return d.successor }

// Members returns the valid members in ring order.
func (d *Detector) Members() []table.MemberID { return slices.Clone(d.members) }

// connect selects the next valid successor.
func (d *Detector) connect(now clock.Reading) {
	next := table.MemberID("")
	if len(d.members) > 1 {
		i, _ := slices.BinarySearch(d.members, d.cfg.Self)
		next = d.members[(i+1)%len(d.members)]
	}
	if next != d.successor {
		d.successor, d.heard, d.sent = next, now, clock.Reading{}
	}
}

// Tick sends heartbeats and checks the successor. It has to be called more
// often than Period.
func (d *Detector) Tick(now clock.Reading) []Action {
	d.out = nil
	if now.Since(d.ticked) > d.cfg.Period {
		// This member was paused itself and cannot judge its successor.
		d.heard = now
	}
	d.ticked = now
	if d.successor == "" {
		return nil
	}
	if now.Since(d.heard) > d.cfg.Timeout {
		d.suspect(now)
	}
	if d.successor != "" && (d.sent.IsZero() || now.Since(d.sent) >= d.cfg.Period) {
		d.sent = now
		d.send(d.successor, Message{Kind: Heartbeat})
	}
	return d.out
}

// suspect removes the successor from the ring and tells every member.
func (d *Detector) suspect(now clock.Reading) {
	lost := d.successor
	d.out = append(d.out, Suspect{Member: lost})
	d.broadcast(Message{Kind: Failed, Member: lost, Generation: d.generations[lost]})
	d.remove(lost, d.generations[lost])
	d.connect(now)
}

// Receive handles a message.
func (d *Detector) Receive(now clock.Reading, m Message) []Action {
	d.out = nil
	switch m.Kind {
	case Heartbeat:
		d.send(m.From, Message{Kind: Ack})
	case Ack:
		if m.From == d.successor {
			d.heard = now
		}
	case Failed:
		d.onFailed(now, m)
	case Joined:
		d.onJoined(now, m)
	}
	return d.out
}

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
	d.out = append(d.out, Send{To: to, Message: m})
}

// broadcast sends m to all valid members, and to its subject, which learns
// that it is suspected.
func (d *Detector) broadcast(m Message) {
	for _, id := range d.members {
		if id != d.cfg.Self {
			d.send(id, m)
		}
	}
}
