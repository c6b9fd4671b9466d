package control

// retiredMemory bounds the retired incarnations that are remembered. At 450
// losses and restarts a day it covers three weeks.
const retiredMemory = 10_000

// retiredSet remembers incarnations that may not register again, oldest first.
// A late DeclareMembersLost for a retired incarnation must never hit a registration
// that holds a lease.
type retiredSet struct {
	list  []MemberIncarnation
	known map[MemberIncarnation]struct{}
}

func (r *retiredSet) has(m MemberIncarnation) bool {
	_, ok := r.known[m]
	return ok
}

func (r *retiredSet) add(m MemberIncarnation) {
	if r.has(m) {
		return
	}
	if r.known == nil {
		r.known = map[MemberIncarnation]struct{}{}
	}
	if len(r.list) >= retiredMemory {
		delete(r.known, r.list[0])
		r.list = r.list[1:]
	}
	r.list = append(r.list, m)
	r.known[m] = struct{}{}
}
