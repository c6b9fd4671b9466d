package control

// maxRetired bounds the retained incarnations. At 450 losses and restarts a day
// they cover three weeks.
const maxRetired = 10_000

// retiredSet holds the incarnations that may not register again, oldest first.
// If a retired incarnation could register again, a late DeclareMembersLost for it
// could apply to a registration that has a lease.
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
	if len(r.list) >= maxRetired {
		delete(r.known, r.list[0])
		r.list = r.list[1:]
	}
	r.list = append(r.list, m)
	r.known[m] = struct{}{}
}
