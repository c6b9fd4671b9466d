// Package ranges divides a numeric key space into contiguous key ranges, each
// assigned to one incarnation of a target, and plans which ranges move. It belongs
// to the fleet mode.
package ranges

import "slices"

// LastKey is the largest key of a key space; the smallest is 0.
const LastKey = 1<<16 - 1

// Holder is one incarnation of a target. A target that starts again, even under the
// same name, is another holder.
type Holder struct {
	Target string `json:"target" cbor:"1,keyasint"`
	// Incarnation is the start time of the target in Unix milliseconds.
	Incarnation int64 `json:"life" cbor:"2,keyasint"`
	// Process is the peer address of the target's sidecar process.
	Process string `json:"process" cbor:"3,keyasint"`
}

// IsZero reports whether h is the zero Holder, which stands for no holder.
func (h Holder) IsZero() bool { return h == Holder{} }

// Range is a contiguous range of keys, From and To included. The ranges of a key
// space cover it without overlap, in order.
type Range struct {
	From uint16 `json:"from" cbor:"1,keyasint"`
	To   uint16 `json:"to" cbor:"2,keyasint"`
	// Holder is zero while no target may serve the range.
	Holder Holder `json:"holder" cbor:"3,keyasint"`
	// Fence is the fencing token, which rises with every change of the holder. If
	// it is zero, fleet.State allocates the next one.
	Fence uint64 `json:"fence" cbor:"4,keyasint"`
	// Releasing is set from the request to release the range until the holder has
	// released it or is lost.
	Releasing bool `json:"releasing,omitempty" cbor:"5,keyasint,omitempty"`
	// HandoverToken is the token that the last holder returned with its release.
	// With it the next holder need not warm up. It is empty if the last holder was
	// lost or released the range without a token.
	HandoverToken string `json:"handover,omitempty" cbor:"6,keyasint,omitempty"`
}

// UnassignedKeyspace returns a key space of a single range without a holder.
func UnassignedKeyspace() []Range { return []Range{{From: 0, To: LastKey}} }

// Find returns the range that contains a key, or false if there is none. The ranges
// must be in order.
func Find(ranges []Range, key uint16) (Range, bool) {
	i, ok := slices.BinarySearchFunc(ranges, key, func(r Range, k uint16) int {
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
	return ranges[i], true
}

// Covers reports whether the ranges are in order and cover the key space exactly.
func Covers(ranges []Range) bool {
	next := 0
	for _, r := range ranges {
		if int(r.From) != next || r.To < r.From {
			return false
		}
		next = int(r.To) + 1
	}
	return next == LastKey+1
}

// split splits the range at index i so that a new one starts at key. It changes
// nothing if key is not inside the range or is its first key.
func split(ranges []Range, i int, key uint16) []Range {
	r := ranges[i]
	if key <= r.From || key > r.To {
		return ranges
	}
	left, right := r, r
	left.To, right.From = key-1, key
	return slices.Replace(ranges, i, i+1, left, right)
}
