package ranges

const (
	// bucketKeys is the number of keys in a load bucket. Ranges are split only at
	// bucket boundaries. Narrow buckets allow busy neighbours to be separated, but
	// load reports grow with the number of buckets.
	bucketKeys = 64
	// NumBuckets is the number of load buckets of a key space.
	NumBuckets = (LastKey + 1) / bucketKeys
)

// Bucket returns the index of the load bucket that contains a key.
func Bucket(key uint16) int { return int(key) / bucketKeys }

// Load is the request rate of each bucket, in requests per second.
type Load [NumBuckets]float64

// uniformFraction is the fraction of the total weight that is distributed evenly
// over the key space, so that ranges without load are balanced as well.
const uniformFraction = 0.1

// weights returns the load of each bucket as a fraction of the total load, with
// uniformFraction of it distributed evenly. The weights add up to 1.
func (l *Load) weights() *Load {
	var out Load
	sum := 0.0
	for _, rate := range l {
		sum += rate
	}
	for i, rate := range l {
		out[i] = 1.0 / NumBuckets
		if sum > 0 {
			out[i] = uniformFraction/NumBuckets + (1-uniformFraction)*rate/sum
		}
	}
	return &out
}

// ofRange returns the sum of the buckets of a range, which must start and end at
// bucket boundaries.
func (l *Load) ofRange(r Range) float64 {
	sum := 0.0
	for b := Bucket(r.From); b <= Bucket(r.To); b++ {
		sum += l[b]
	}
	return sum
}
