package raft

// EntryKind is the kind of an entry's data.
type EntryKind uint8

const (
	// EntryNoop is the first entry of a leader's term. It has no data.
	EntryNoop EntryKind = iota
	// EntryCommand carries a proposed command.
	EntryCommand
	// EntryMembership carries a whole Membership; see DecodeMembership.
	EntryMembership
)

// Entry is one element of the log.
type Entry struct {
	Term  uint64    `json:"t" cbor:"1,keyasint"`
	Index uint64    `json:"i" cbor:"2,keyasint"`
	Kind  EntryKind `json:"k,omitempty" cbor:"3,keyasint,omitempty"`
	Data  []byte    `json:"d,omitempty" cbor:"4,keyasint,omitempty"`
}

// dataBytes returns the size of the entries' data.
func dataBytes(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
	}
	return size
}

// EntryID identifies a proposed entry. The proposal succeeded if the entry
// committed at this index has this term. If it has another term, the proposal
// failed and can no longer take effect.
type EntryID struct {
	Term, Index uint64
}
