package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// pointsPerMember is the number of points of each member on the hash ring. More
// points spread the load better and cost memory and time.
const pointsPerMember = 100

// Rendezvous assigns each unit to the allowed member with the highest hash of
// member and unit (rendezvous hashing). Units for which no member is allowed
// are left out. It ignores loads, weights and preferences. It is a baseline
// that Planner is compared with.
func Rendezvous(units []UnitInfo, members []Member) []Assignment {
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = xxhash.Sum64String(string(m.ID))
	}
	out := make([]Assignment, 0, len(units))
	for i := range units {
		u := &units[i]
		key := unitHash(u.ID)
		best, top := -1, uint64(0)
		for j := range members {
			if !allows(u, &members[j]) {
				continue
			}
			if h := mix(key ^ seeds[j]); best < 0 || h > top {
				best, top = j, h
			}
		}
		if best >= 0 {
			out = append(out, Assignment{Unit: u.ID, To: members[best].ID})
		}
	}
	return out
}

// BoundedHash is consistent hashing with bounded loads: a unit is assigned to
// the next allowed member on the ring that has fewer units than factor times
// the mean, rounded up. Units for which there is none are left out. It ignores
// loads, weights and preferences. It is a baseline that Planner is compared
// with.
func BoundedHash(units []UnitInfo, members []Member, factor float64) []Assignment {
	ring := newRing(members)
	limit := math.Ceil(factor * float64(len(units)) / float64(max(len(members), 1)))
	unitCounts := make([]float64, len(members))
	out := make([]Assignment, 0, len(units))
	for i := range units {
		u := &units[i]
		start := sort.Search(len(ring), func(k int) bool { return ring[k].hash >= unitHash(u.ID) })
		for k := range ring {
			m := ring[(start+k)%len(ring)].member
			if unitCounts[m] < limit && allows(u, &members[m]) {
				unitCounts[m]++
				out = append(out, Assignment{Unit: u.ID, To: members[m].ID})
				break
			}
		}
	}
	return out
}

type ringPoint struct {
	hash   uint64
	member int
}

func newRing(members []Member) []ringPoint {
	ring := make([]ringPoint, 0, len(members)*pointsPerMember)
	for i, m := range members {
		seed := xxhash.Sum64String(string(m.ID))
		for k := range uint64(pointsPerMember) {
			ring = append(ring, ringPoint{hash: mix(seed + k*0x9e3779b97f4a7c15), member: i})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return ring
}

func allows(u *UnitInfo, m *Member) bool {
	ml := memberLoad{Member: *m}
	return ml.allows(u)
}

// UnitCounts returns the number of units of each member.
func UnitCounts(as []Assignment) map[table.MemberID]float64 {
	unitCounts := map[table.MemberID]float64{}
	for _, a := range as {
		unitCounts[a.To]++
	}
	return unitCounts
}

func unitHash(u shard.Unit) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:4], u.Shard)
	binary.LittleEndian.PutUint64(b[4:], u.KeyHash)
	return mix(xxhash.Sum64String(u.Keyspace) ^ xxhash.Sum64(b[:]))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
