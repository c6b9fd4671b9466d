package quota

import (
	"cmp"
	"slices"
	"time"
)

// Process is one incarnation of a process.
type Process struct {
	// Address is the peer address of the process.
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Registration is a process that may hold allotments, in the replicated state.
type Registration struct {
	Process `cbor:"1,keyasint"`
	// Index is the log index of the registration. It distinguishes registrations of the
	// same incarnation.
	Index uint64 `cbor:"2,keyasint"`
}

// registrations is the allocator's view of the registered processes.
type registrations struct {
	known map[string]Registration // by address
	// removing are the registrations whose removal this term has proposed. Such a
	// proposal may still take effect if it seems to have failed.
	removing map[Registration]bool
}

// mayHold reports whether a new leader would know that the incarnation may hold
// allotments.
func (r *registrations) mayHold(process string, incarnation uint64) bool {
	known, ok := r.known[process]
	return ok && known.Incarnation == incarnation && !r.removing[known]
}

// SetRegistered sets the registrations of the applied state.
func (a *Allocator) SetRegistered(list []Registration) {
	known := make(map[string]Registration, len(list))
	removing := map[Registration]bool{}
	for _, r := range list {
		known[r.Address] = r
		if a.registrations.removing[r] {
			removing[r] = true
		}
	}
	a.registrations = registrations{known: known, removing: removing}
}

// Unregistered returns the processes that get no allotment before they are registered.
func (a *Allocator) Unregistered() []Process {
	var out []Process
	for address, s := range a.sessions {
		if known, ok := a.registrations.known[address]; !s.needFull && (!ok || known.Incarnation != s.incarnation) {
			out = append(out, Process{Address: address, Incarnation: s.incarnation})
		}
	}
	slices.SortFunc(out, func(x, y Process) int { return cmp.Compare(x.Address, y.Address) })
	return out
}

// recordLeft ends what an incarnation holds that has ended by itself. It does not depend
// on earlier reports: the incarnation uses nothing of the replies to them.
func (a *Allocator) recordLeft(now time.Duration, process string, s *session, r Report) *Reply {
	if s != nil && s.incarnation != r.Incarnation {
		return nil // of an earlier incarnation
	}
	a.left[process] = r.Incarnation
	delete(a.handshakes, process)
	if s != nil {
		s.close(now)
		delete(a.sessions, process)
	}
	if a.awaited[process] == r.Incarnation {
		delete(a.awaited, process)
		a.release(now)
	}
	return &Reply{Term: a.term, Seq: r.Seq}
}

// Silent returns the registrations of processes that have left, or have not renewed for
// so long that nothing of their allotments can be in force. They are to be removed: they
// get nothing from now on until they are registered anew.
func (a *Allocator) Silent(now time.Duration) []Registration {
	var out []Registration
	for address, r := range a.registrations.known {
		last := a.observedSince
		if s := a.sessions[address]; s != nil {
			last = max(last, s.lastReply)
		}
		if now-last > a.cfg.SilentAfter || a.left[address] == r.Incarnation {
			a.registrations.removing[r] = true
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y Registration) int { return cmp.Compare(x.Address, y.Address) })
	return out
}

// RecordStall says that the leader stood still until now, so that renewals may have
// arrived that it has not handled.
func (a *Allocator) RecordStall(now time.Duration) { a.observedSince = now }
