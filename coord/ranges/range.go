// Package ranges divides a numeric key space into contiguous rows, each held
// by one life of one target, and plans which rows change hands.
package ranges

import "slices"

// LastKey is the largest key of a key space; the smallest is 0.
const LastKey = 1<<16 - 1

// Holder is one life of one target: a target that starts again, even under
// the same name, is another holder.
type Holder struct {
	Target string `json:"target" cbor:"1,keyasint"`
	// Incarnation is the start of the target in Unix milliseconds.
	Incarnation int64 `json:"life" cbor:"2,keyasint"`
	// Process is the peer address of the process beside the target.
	Process string `json:"process" cbor:"3,keyasint"`
}

// IsZero reports whether h names nobody.
func (h Holder) IsZero() bool { return h == Holder{} }

// Range is a contiguous range of keys. The rows of a key space cover it without
// overlap, in order.
type Range struct {
	From uint16 `json:"from" cbor:"1,keyasint"`
	To   uint16 `json:"to" cbor:"2,keyasint"`
	// Holder is zero while nobody may serve the row.
	Holder Holder `json:"holder" cbor:"3,keyasint"`
	// Fence rises with every change of holder. Zero asks State to draw one.
	Fence uint64 `json:"fence" cbor:"4,keyasint"`
	// Releasing asks the holder to give the row back.
	Releasing bool `json:"releasing,omitempty" cbor:"5,keyasint,omitempty"`
	// HandoverToken is the token that the last holder gave with its release. It
	// saves the next holder the warm-up. Empty if the last holder was lost.
	HandoverToken string `json:"handover,omitempty" cbor:"6,keyasint,omitempty"`
}

// UnassignedKeyspace returns a key space that nobody holds.
func UnassignedKeyspace() []Range { return []Range{{From: 0, To: LastKey}} }

// Find returns the row of a key. The rows cover the key space.
func Find(rows []Range, key uint16) (Range, bool) {
	i, ok := slices.BinarySearchFunc(rows, key, func(r Range, k uint16) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !ok {
		return Range{}, false
	}
	return rows[i], true
}

// Covers reports whether rows are in order and cover the key space exactly.
func Covers(rows []Range) bool {
	next := 0
	for _, r := range rows {
		if int(r.From) != next || r.To < r.From {
			return false
		}
		next = int(r.To) + 1
	}
	return next == LastKey+1
}

// split cuts the row at index i so that a new row starts at key.
func split(rows []Range, i int, key uint16) []Range {
	r := rows[i]
	if key <= r.From || key > r.To {
		return rows
	}
	left, right := r, r
	left.To, right.From = key-1, key
	return slices.Replace(rows, i, i+1, left, right)
}
