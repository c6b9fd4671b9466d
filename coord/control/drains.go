package control

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
)

// Drain identifies what is drained: a member, an IP address or a data centre.
type Drain struct {
	Scope DrainScope `json:"scope" cbor:"1,keyasint"`
	Name  string     `json:"name" cbor:"2,keyasint"`
}

// DrainInfo is an active drain. Author and ChangeID are those of the SetDrain that
// started it. For a drain in the document, Author is the author of the current
// document and ChangeID is empty.
type DrainInfo struct {
	Drain
	Author   string `json:"author,omitempty" cbor:"3,keyasint,omitempty"`
	ChangeID string `json:"changeId,omitempty" cbor:"4,keyasint,omitempty"`
	// InDocument is set for a data centre that is drained in the operators'
	// document.
	InDocument bool `json:"inDocument,omitempty" cbor:"5,keyasint,omitempty"`
}

// Drains returns the active drains, including those of the document, sorted by
// scope and name.
func (s *State) Drains() []DrainInfo {
	out := make([]DrainInfo, 0, len(s.drains))
	for _, d := range s.drains {
		out = append(out, d)
	}
	for _, dc := range s.doc.DataCentres {
		if dc.Drained {
			out = append(out, DrainInfo{Drain: Drain{DrainDataCentre, dc.Name}, Author: s.documents.last().Author, InDocument: true})
		}
	}
	slices.SortFunc(out, func(a, b DrainInfo) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name), cmp.Compare(a.ChangeID, b.ChangeID))
	})
	return out
}

func (s *State) setDrain(e *edit, c *SetDrain) Result {
	d := Drain{c.Scope, c.Name}
	switch c.Scope {
	case DrainTarget, DrainInstance, DrainDataCentre:
	default:
		return refuse(RefusedInvalid, fmt.Sprintf("unknown drain scope %q", c.Scope))
	}
	if c.Name == "" {
		return refuse(RefusedInvalid, "a drain needs a name")
	}
	if !c.On {
		_, set := s.drains[d]
		if dc := s.doc.DataCentre(c.Name); !set && c.Scope == DrainDataCentre && dc != nil && dc.Drained {
			return refuse(RefusedInvalid, fmt.Sprintf("data centre %q is drained in the document; change it there", c.Name))
		}
		delete(s.drains, d)
		s.refreshStates(e)
		return Result{}
	}
	if c.Scope != DrainDataCentre && !s.matchesAny(d) {
		return refuse(RefusedNotFound, fmt.Sprintf("no member matches %s %q", c.Scope, c.Name))
	}
	if c.Scope == DrainDataCentre && s.doc.DataCentre(c.Name) == nil && !s.matchesAny(d) {
		return refuse(RefusedNotFound, fmt.Sprintf("no data centre %q", c.Name))
	}
	s.drains[d] = DrainInfo{Drain: d, Author: c.Author, ChangeID: c.ChangeID}
	s.refreshStates(e)
	return Result{}
}

// matchesAny reports whether a drain covers any registered member.
func (s *State) matchesAny(d Drain) bool {
	for _, r := range s.members {
		if d.covers(&r.Member) {
			return true
		}
	}
	return false
}

// covers reports whether a drain applies to a member.
func (d Drain) covers(m *Member) bool {
	switch d.Scope {
	case DrainTarget:
		return d.Name == string(m.ID)
	case DrainInstance:
		if d.Name == string(m.ID) {
			return true
		}
		addr, err := netip.ParseAddrPort(m.PeerAddr)
		return err == nil && addr.Addr().String() == d.Name
	case DrainDataCentre:
		return d.Name == m.DataCentre
	default:
		return false
	}
}

// drained reports whether any drain covers a member.
func (s *State) drained(m *Member) bool {
	if dc := s.doc.DataCentre(m.DataCentre); dc != nil && dc.Drained {
		return true
	}
	for d := range s.drains {
		if d.covers(m) {
			return true
		}
	}
	return false
}

// refreshState recomputes whether a member is active or draining: it is draining
// while a drain covers it or while it is leaving.
func (s *State) refreshState(e *edit, r *memberRecord) {
	if r.Member.State == MemberLost {
		return
	}
	state := MemberActive
	if r.Manual || r.Member.Leaving || s.drained(&r.Member) {
		state = MemberDraining
	}
	if r.Member.State != state {
		r.Member.State = state
		e.markChanged(r)
	}
}

func (s *State) refreshStates(e *edit) {
	for _, r := range s.members {
		s.refreshState(e, r)
	}
}
