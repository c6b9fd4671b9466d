package rangetarget

import (
	"math/rand/v2"
	"strconv"
	"time"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetdaemon"
)

const keyCount = ranges.LastKey + 1

// keyGrants are the keys that are granted to the target, each with a fence and an end.
// A key that is missing in the newest announced grant, or whose release was called for,
// is releasing: it takes no new requests and is released when its running requests have
// ended. It is announced as held until then. The target's mutex guards all fields.
type keyGrants struct {
	fence        [keyCount]uint64 // 0: not granted
	releasing    [keyCount]bool
	highestFence [keyCount]uint64 // the highest fence ever granted
	running      [keyCount]int
	validUntil   [keyCount]int64 // in nanoseconds since epoch
	// released are the released ranges that no answered announcement has reported yet.
	released []fleetdaemon.Range
}

// epoch is the origin of the times of keyGrants, which follow the monotonic clock.
var epoch = time.Now()

func (k *keyGrants) valid(now time.Time, key uint16) bool {
	return int64(now.Sub(epoch)) < k.validUntil[key]
}

// begin counts a running request of a key. It returns false if the key is not granted,
// is releasing, or its grant has expired.
func (k *keyGrants) begin(now time.Time, key uint16) bool {
	if k.fence[key] == 0 || k.releasing[key] || !k.valid(now, key) {
		return false
	}
	k.running[key]++
	return true
}

// end ends a request of a key and reports whether the key is still granted with the
// same fence.
func (k *keyGrants) end(now time.Time, key uint16, fence uint64) bool {
	k.running[key]--
	return k.fence[key] == fence && k.valid(now, key)
}

// expire drops the keys whose grants have expired. They are not reported as released.
func (k *keyGrants) expire(now time.Time) {
	for key := range k.fence {
		if k.fence[key] != 0 && !k.valid(now, uint16(key)) {
			k.fence[key], k.releasing[key] = 0, false
		}
	}
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
			k.fence[key], k.releasing[key], k.validUntil[key] = fences[key], false, int64(validUntil.Sub(epoch))
		case k.fence[key] != 0:
			k.releasing[key] = true
		}
	}
}

// grantRange grants one range, or renews its grant. It changes nothing and returns
// false if a higher fence was granted before for one of its keys.
func (k *keyGrants) grantRange(r fleetdaemon.Range, validUntil time.Time) bool {
	for key := int(r.From); key <= int(r.To); key++ {
		if r.Fence < k.highestFence[key] {
			return false
		}
	}
	for key := int(r.From); key <= int(r.To); key++ {
		k.fence[key], k.highestFence[key], k.releasing[key], k.validUntil[key] = r.Fence, r.Fence, false, int64(validUntil.Sub(epoch))
	}
	return true
}

// startRelease makes the keys of a range releasing.
func (k *keyGrants) startRelease(r fleetdaemon.Range) {
	for key := int(r.From); key <= int(r.To); key++ {
		k.releasing[key] = k.fence[key] != 0
	}
}

// finishRelease drops the releasing keys of a range and returns true, or returns
// false while requests of one of its keys run.
func (k *keyGrants) finishRelease(r fleetdaemon.Range) bool {
	for key := int(r.From); key <= int(r.To); key++ {
		if k.running[key] > 0 {
			return false
		}
	}
	for key := int(r.From); key <= int(r.To); key++ {
		if k.releasing[key] {
			k.fence[key], k.releasing[key] = 0, false
		}
	}
	return true
}

// collectReleased releases the releasing keys that have no running requests, with a new handover token for each range.
func (k *keyGrants) collectReleased() {
	for _, r := range k.rangesOf(func(key int) bool { return k.releasing[key] && k.running[key] == 0 }) {
		for key := int(r.From); key <= int(r.To); key++ {
			k.fence[key], k.releasing[key] = 0, false
		}
		r.Handover = newHandoverToken()
		k.released = append(k.released, r)
	}
}

func newHandoverToken() string { return strconv.FormatUint(rand.Uint64(), 16) }

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
