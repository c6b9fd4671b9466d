package rangetarget

import (
	"math/rand/v2"
	"strconv"
	"time"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetdaemon"
)

const keyCount = ranges.LastKey + 1

// keys is the target's account of what it holds. A key is held with a fence;
// a key that is given back stays listed until its requests have ended.
type keys struct {
	fence  [keyCount]uint64 // 0: not held
	giving [keyCount]bool
	seen   [keyCount]uint64 // the highest fence
	busy   [keyCount]int
	until  time.Time
	// released waits for an announcement that is answered.
	released []fleetdaemon.Range
}

// begin takes a request; false if its key is not held.
func (k *keys) begin(now time.Time, key uint16) bool {
	if k.fence[key] == 0 || k.giving[key] || !now.Before(k.until) {
		return false
	}
	k.busy[key]++
	return true
}

// end gives a request back and reports whether the key is still held.
func (k *keys) end(now time.Time, key uint16, fence uint64) bool {
	k.busy[key]--
	return k.fence[key] == fence && now.Before(k.until)
}

// expire drops everything once the grant has run out. Nothing of it counts as
// released.
func (k *keys) expire(now time.Time) {
	if now.Before(k.until) {
		return
	}
	k.fence, k.giving = [keyCount]uint64{}, [keyCount]bool{}
}

// take puts a grant into force and marks what it leaves out.
func (k *keys) take(holds []fleetdaemon.Range, until time.Time) {
	var next [keyCount]uint64
	for _, r := range holds {
		for key := int(r.From); key <= int(r.To); key++ {
			if r.Fence >= k.seen[key] {
				next[key], k.seen[key] = r.Fence, r.Fence
			}
		}
	}
	for key := range k.fence {
		switch {
		case next[key] != 0:
			k.fence[key], k.giving[key] = next[key], false
		case k.fence[key] != 0:
			k.giving[key] = true
		}
	}
	k.until = until
}

// release moves what is given back and no longer in use to released.
func (k *keys) release() {
	for _, r := range k.list(func(key int) bool { return k.giving[key] && k.busy[key] == 0 }) {
		for key := int(r.From); key <= int(r.To); key++ {
			k.fence[key], k.giving[key] = 0, false
		}
		r.Fence, r.Handover = 0, strconv.FormatUint(rand.Uint64(), 16)
		k.released = append(k.released, r)
	}
}

// list returns the keys that match as ranges of one fence.
func (k *keys) list(match func(key int) bool) []fleetdaemon.Range {
	var out []fleetdaemon.Range
	for key := range keyCount {
		if !match(key) {
			continue
		}
		if n := len(out) - 1; n >= 0 && int(out[n].To) == key-1 && out[n].Fence == k.fence[key] {
			out[n].To = uint16(key)
			continue
		}
		out = append(out, fleetdaemon.Range{From: uint16(key), To: uint16(key), Fence: k.fence[key]})
	}
	return out
}

func (k *keys) holds() []fleetdaemon.Range {
	return k.list(func(key int) bool { return k.fence[key] != 0 })
}

// pending reports whether something is still to be given back.
func (k *keys) pending() bool {
	for _, g := range k.giving {
		if g {
			return true
		}
	}
	return len(k.released) > 0
}
