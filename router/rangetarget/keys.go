package rangetarget

import (
	"math/rand/v2"
	"strconv"
	"time"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetdaemon"
)

const keyCount = ranges.LastKey + 1

// keyGrants is the target's account of what it holds. A key is held with a fence;
// a key that is given back stays listed until its requests have ended.
type keyGrants struct {
	fence        [keyCount]uint64 // 0: not held
	releasing    [keyCount]bool
	highestFence [keyCount]uint64 // the highest fence
	running      [keyCount]int
	validUntil   time.Time
	// released waits for an announcement that is answered.
	released []fleetdaemon.Range
}

// begin takes a request; false if its key is not held.
func (k *keyGrants) begin(now time.Time, key uint16) bool {
	if k.fence[key] == 0 || k.releasing[key] || !now.Before(k.validUntil) {
		return false
	}
	k.running[key]++
	return true
}

// end gives a request back and reports whether the key is still held.
func (k *keyGrants) end(now time.Time, key uint16, fence uint64) bool {
	k.running[key]--
	return k.fence[key] == fence && now.Before(k.validUntil)
}

// expire drops everything once the grant has run out. Nothing of it counts as
// released.
func (k *keyGrants) expire(now time.Time) {
	if now.Before(k.validUntil) {
		return
	}
	k.fence, k.releasing = [keyCount]uint64{}, [keyCount]bool{}
}

// applyGrant puts a grant into force and marks what it leaves out.
func (k *keyGrants) applyGrant(holds []fleetdaemon.Range, until time.Time) {
	var next [keyCount]uint64
	for _, r := range holds {
		for key := int(r.From); key <= int(r.To); key++ {
			if r.Fence >= k.highestFence[key] {
				next[key], k.highestFence[key] = r.Fence, r.Fence
			}
		}
	}
	for key := range k.fence {
		switch {
		case next[key] != 0:
			k.fence[key], k.releasing[key] = next[key], false
		case k.fence[key] != 0:
			k.releasing[key] = true
		}
	}
	k.validUntil = until
}

// collectReleased moves what is given back and no longer in use to released.
func (k *keyGrants) collectReleased() {
	for _, r := range k.rangesOf(func(key int) bool { return k.releasing[key] && k.running[key] == 0 }) {
		for key := int(r.From); key <= int(r.To); key++ {
			k.fence[key], k.releasing[key] = 0, false
		}
		r.Fence, r.Handover = 0, strconv.FormatUint(rand.Uint64(), 16)
		k.released = append(k.released, r)
	}
}

// rangesOf returns the keys that match as ranges of one fence.
func (k *keyGrants) rangesOf(match func(key int) bool) []fleetdaemon.Range {
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

func (k *keyGrants) heldRanges() []fleetdaemon.Range {
	return k.rangesOf(func(key int) bool { return k.fence[key] != 0 })
}

// releasePending reports whether something is still to be given back.
func (k *keyGrants) releasePending() bool {
	for _, g := range k.releasing {
		if g {
			return true
		}
	}
	return len(k.released) > 0
}
