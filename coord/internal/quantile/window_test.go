package quantile

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
)

// Guards against quantiles that are based on too few samples, that never drop old
// samples, or that are lost when traffic stops.
func TestWindow(t *testing.T) {
	is := is.New(t)
	w := NewWindow(time.Second, 20, 50, 95)
	record := func(from time.Duration, n int, d time.Duration) {
		for i := range n {
			w.Record(clock.At(from+time.Duration(i)*time.Millisecond), d)
		}
	}
	near := func(got, want time.Duration) bool { return got >= want*15/16 && got <= want*17/16 }
	record(0, 19, 10*time.Millisecond)
	is.Equal(w.Quantile(0), time.Duration(0)) // unknown
	record(20*time.Millisecond, 1, 10*time.Millisecond)
	is.True(near(w.Quantile(0), 10*time.Millisecond))
	record(100*time.Millisecond, 20, time.Second)
	is.True(near(w.Quantile(1), time.Second))
	record(10*time.Second, 20, time.Millisecond)
	is.True(near(w.Quantile(1), time.Millisecond)) // the samples of the old period are dropped
	record(30*time.Second, 1, time.Hour)
	is.True(near(w.Quantile(1), time.Millisecond)) // too few new samples
}
