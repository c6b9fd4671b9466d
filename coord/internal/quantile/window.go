// Package quantile estimates quantiles of recent durations in bounded memory.
package quantile

import (
	"time"

	"bramleyquay.example/coord/clock"
	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histogram covers 1 µs to 2 min with one significant figure, which is
	// a resolution of 1/16 in under 4 KB for each of the two periods.
	unit    = time.Microsecond
	longest = 2 * time.Minute
	figures = 1
	periods = 2
	// refreshSamples is the number of samples after which quantiles are read
	// again within a period. Reading costs about as much as 100 samples.
	refreshSamples = 256
)

// Window holds the durations of the present and the previous period. With too
// few samples in both, the last known quantiles stay in use.
type Window struct {
	histogram *hdr.WindowedHistogram
	period    time.Duration
	least     int64
	rotated   clock.Reading
	fresh     int
	due       int
	quantiles []float64
	values    []time.Duration
}

// NewWindow returns a window for the given quantiles, in percent. Values are
// known from the given number of samples on.
func NewWindow(period time.Duration, least int, quantiles ...float64) *Window {
	return &Window{
		histogram: hdr.NewWindowed(periods, 1, int64(longest/unit), figures),
		period:    period,
		least:     int64(max(least, 1)),
		due:       max(least, 1),
		quantiles: quantiles,
		values:    make([]time.Duration, len(quantiles)),
	}
}

// Record adds one duration. Durations outside the range count as its ends.
func (w *Window) Record(now clock.Reading, d time.Duration) {
	if elapsed := now.MonoSince(w.rotated); elapsed >= w.period {
		w.refresh()
		w.histogram.Rotate()
		if elapsed >= periods*w.period {
			w.histogram.Rotate()
		}
		w.rotated, w.due = now, int(w.least)
	}
	// The value is within the range, so that recording cannot fail.
	_ = w.histogram.Current.RecordValue(int64(min(max(d, unit), longest) / unit))
	if w.fresh++; w.fresh >= w.due {
		w.refresh()
	}
}

func (w *Window) refresh() {
	w.fresh = 0
	merged := w.histogram.Merge()
	if merged.TotalCount() < w.least {
		w.due = int(w.least - merged.TotalCount())
		return
	}
	// The first values rest on few samples and are read again soon.
	w.due = min(refreshSamples, int(merged.TotalCount()))
	for i, q := range w.quantiles {
		w.values[i] = time.Duration(merged.ValueAtQuantile(q)) * unit
	}
}

// Quantile returns the value of the i-th quantile, or zero while it is unknown.
func (w *Window) Quantile(i int) time.Duration { return w.values[i] }
