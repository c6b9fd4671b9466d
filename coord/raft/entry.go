package raft

// EntryKind tells what an entry's data is.
type EntryKind uint8

const (
	// EntryNoop opens a leader's term. It has no data.
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

// EntryID identifies a proposed entry. The proposal took effect if an entry
// with this term and index is committed; if another term is committed at this
// index, it did not and never will.
type EntryID struct {
	Term, Index uint64
}
