package ranges

const (
	// bucketKeys is the width of a load bucket in keys. Rows are cut at bucket
	// boundaries only. Narrow buckets separate busy neighbours; the reports
	// grow with their number.
	bucketKeys = 64
	// NumBuckets is the number of load buckets of a key space.
	NumBuckets = (LastKey + 1) / bucketKeys
)

// Bucket returns the load bucket of a key.
func Bucket(key uint16) int { return int(key) / bucketKeys }

// Load is the request rate of each bucket, in requests per second.
type Load [NumBuckets]float64

// floorShare is the share of the total load that is spread evenly over the
// key space, so that idle rows are divided as well.
const floorShare = 0.1

// weights returns the load with the even share added; it sums to 1.
func (l *Load) weights() *Load {
	var out Load
	sum := 0.0
	for _, v := range l {
		sum += v
	}
	for i, v := range l {
		out[i] = 1.0 / NumBuckets
		if sum > 0 {
			out[i] = floorShare/NumBuckets + (1-floorShare)*v/sum
		}
	}
	return &out
}

// of returns the load of a row. Rows are cut at bucket boundaries.
func (l *Load) of(r Range) float64 {
	sum := 0.0
	for b := Bucket(r.From); b <= Bucket(r.To); b++ {
		sum += l[b]
	}
	return sum
}
