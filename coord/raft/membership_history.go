package raft

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// membershipHistory is the memberships of the snapshot and of all later entries, in
// log order. The last one is in force as soon as it is in the log; a truncation of
// the log restores the one before it.
type membershipHistory []membershipAt

func (h membershipHistory) current() membershipAt { return h[len(h)-1] }

// at returns the membership in force after the entry at index.
func (h membershipHistory) at(index uint64) Membership {
	m := h[0].membership
	for _, e := range h {
		if e.index <= index {
			m = e.membership
		}
	}
	return m
}

// appendFrom adds the memberships among entries, which checkEntries has accepted.
func (h *membershipHistory) appendFrom(entries []Entry) {
	for i := range entries {
		if entries[i].Kind != EntryMembership {
			continue
		}
		if m, err := DecodeMembership(entries[i].Data); err == nil {
			*h = append(*h, membershipAt{index: entries[i].Index, membership: m})
		}
	}
}

// truncate removes the memberships set after index.
func (h *membershipHistory) truncate(index uint64) {
	for len(*h) > 1 && h.current().index > index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact removes the memberships before the one in force at index.
func (h *membershipHistory) compact(index uint64) {
	first := 0
	for first+1 < len(*h) && (*h)[first+1].index <= index {
		first++
	}
	*h = append(membershipHistory(nil), (*h)[first:]...)
}
