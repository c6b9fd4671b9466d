// Package quantile estimates quantiles of recent durations with bounded memory.
package quantile

import (
	"time"

	"bramleyquay.example/coord/clock"
	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histogram covers 1 µs to 2 min with one significant figure, which gives a
	// resolution of 1/16 and takes less than 4 KB for each of the two periods.
	unit               = time.Microsecond
	maxDuration        = 2 * time.Minute
	significantFigures = 1
	periods            = 2
	// refreshSamples is the number of samples after which the quantiles are computed
	// again within a period. Computing them takes about as long as recording 100
	// samples.
	refreshSamples = 256
)

// Window estimates quantiles of the durations in the current and the previous
// period. If both together have fewer than minSamples, it returns the last known
// quantiles. It is not safe for concurrent use.
type Window struct {
	histogram    *hdr.WindowedHistogram
	period       time.Duration
	minSamples   int64
	lastRotation clock.Reading
	// sinceRefresh is the number of samples since the last refresh, and refreshAfter
	// the number after which the next one is due.
	sinceRefresh int
	refreshAfter int
	quantiles    []float64
	values       []time.Duration
}

// NewWindow returns a window for the given quantiles, in percent. They are known
// once the window has minSamples samples.
func NewWindow(period time.Duration, minSamples int, quantiles ...float64) *Window {
	return &Window{
		histogram:    hdr.NewWindowed(periods, 1, int64(maxDuration/unit), significantFigures),
		period:       period,
		minSamples:   int64(max(minSamples, 1)),
		refreshAfter: max(minSamples, 1),
		quantiles:    quantiles,
		values:       make([]time.Duration, len(quantiles)),
	}
}

// Record adds a duration. One below 1 µs counts as 1 µs, one above 2 min as 2 min.
func (w *Window) Record(now clock.Reading, d time.Duration) {
	if elapsed := now.MonoSince(w.lastRotation); elapsed >= w.period {
		w.refresh()
		w.histogram.Rotate()
		if elapsed >= periods*w.period {
			w.histogram.Rotate()
		}
		w.lastRotation, w.refreshAfter = now, int(w.minSamples)
	}
	// Recording can't fail, because the value is within the range of the histogram.
	_ = w.histogram.Current.RecordValue(int64(min(max(d, unit), maxDuration) / unit))
	if w.sinceRefresh++; w.sinceRefresh >= w.refreshAfter {
		w.refresh()
	}
}

// refresh computes the quantiles if there are enough samples.
func (w *Window) refresh() {
	w.sinceRefresh = 0
	merged := w.histogram.Merge()
	if merged.TotalCount() < w.minSamples {
		w.refreshAfter = int(w.minSamples - merged.TotalCount())
		return
	}
	// The first quantiles of a period are based on few samples and are computed again
	// soon.
	w.refreshAfter = min(refreshSamples, int(merged.TotalCount()))
	for i, percent := range w.quantiles {
		w.values[i] = time.Duration(merged.ValueAtQuantile(percent)) * unit
	}
}

// Quantile returns the i-th quantile given to NewWindow, or zero while it is
// unknown.
func (w *Window) Quantile(i int) time.Duration { return w.values[i] }
