// Package heappeak measures the memory that a part of a test takes.
package heappeak

import (
	"runtime"
	"time"
)

// Measure collects garbage and samples the bytes of the heap's objects at an interval until
// stop is called, which returns by how many they grew at most.
func Measure(interval time.Duration) (stop func() uint64) {
	runtime.GC()
	before := objectBytes()
	ended, growth := make(chan struct{}), make(chan uint64)
	go func() {
		highest := before
		for {
			highest = max(highest, objectBytes())
			select {
			case <-ended:
				growth <- highest - before
				return
			case <-time.After(interval):
			}
		}
	}()
	return func() uint64 { close(ended); return <-growth }
}

func objectBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
