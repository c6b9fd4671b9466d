package rangetarget

import (
	"math/rand/v2"
	"strconv"
	"time"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetdaemon"
)

const keyCount = ranges.LastKey + 1

// keyGrants are the keys that are granted to the target, each with a fence, until
// validUntil. A key that is missing in the newest grant is releasing: it takes no new
// requests and is released when its running requests have ended. It is announced as
// held until then. The target's mutex guards all fields.
type keyGrants struct {
	fence        [keyCount]uint64 // 0: not granted
	releasing    [keyCount]bool
	highestFence [keyCount]uint64 // the highest fence ever granted
	running      [keyCount]int
	validUntil   time.Time
	// released are the released ranges that no answered announcement has reported yet.
	released []fleetdaemon.Range
}

// begin counts a running request of a key. It returns false if the key is not granted,
// is releasing, or its grant has expired.
func (k *keyGrants) begin(now time.Time, key uint16) bool {
	if k.fence[key] == 0 || k.releasing[key] || !now.Before(k.validUntil) {
		return false
	}
	k.running[key]++
	return true
}

// end ends a request of a key and reports whether the key is still granted with the
// same fence.
func (k *keyGrants) end(now time.Time, key uint16, fence uint64) bool {
	k.running[key]--
	return k.fence[key] == fence && now.Before(k.validUntil)
}

// expire drops all keys once the grant has expired. They are not reported as released.
func (k *keyGrants) expire(now time.Time) {
	if now.Before(k.validUntil) {
		return
	}
	k.fence, k.releasing = [keyCount]uint64{}, [keyCount]bool{}
}

// applyGrant replaces the grant and marks the granted keys that the new one does not
// contain as releasing. A key whose fence in the new grant is lower than its highest so
// far counts as not contained.
func (k *keyGrants) applyGrant(granted []fleetdaemon.Range, validUntil time.Time) {
	var fences [keyCount]uint64
	for _, r := range granted {
		for key := int(r.From); key <= int(r.To); key++ {
			if r.Fence >= k.highestFence[key] {
				fences[key], k.highestFence[key] = r.Fence, r.Fence
			}
		}
	}
	for key := range k.fence {
		switch {
		case fences[key] != 0:
			k.fence[key], k.releasing[key] = fences[key], false
		case k.fence[key] != 0:
			k.releasing[key] = true
		}
	}
	k.validUntil = validUntil
}

// collectReleased releases the releasing keys that have no running requests, with a new handover token for each range.
func (k *keyGrants) collectReleased() {
	for _, r := range k.rangesOf(func(key int) bool { return k.releasing[key] && k.running[key] == 0 }) {
		for key := int(r.From); key <= int(r.To); key++ {
			k.fence[key], k.releasing[key] = 0, false
		}
		r.Fence, r.Handover = 0, strconv.FormatUint(rand.Uint64(), 16)
		k.released = append(k.released, r)
	}
}

// rangesOf returns the keys that match as ranges of keys with the same fence.
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

// grantedRanges returns the ranges of all granted keys. It includes the releasing ones,
// which the target announces as held until they are released.
func (k *keyGrants) grantedRanges() []fleetdaemon.Range {
	return k.rangesOf(func(key int) bool { return k.fence[key] != 0 })
}

// releasePending reports whether a key is still to be released, or a released range
// to be reported.
func (k *keyGrants) releasePending() bool {
	for _, releasing := range k.releasing {
		if releasing {
			return true
		}
	}
	return len(k.released) > 0
}
