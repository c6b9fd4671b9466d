package fleetdaemon

import (
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/router/memory"
)

// memoryLimitShare is the share of the memory limit that is set as the soft
// limit of the Go runtime. The rest is for stacks and unread bytes in
// socket buffers.
const memoryLimitShare = 0.7

const (
	// requestMemoryShare is the share of the memory limit for requests and their
	// responses, callMemoryShare that for messages and the bodies of calls, and
	// connMemoryShare that for the connections of calls. The Go runtime needs the
	// rest of memoryLimitShare for the state of the process and for memory that has
	// been used and is not collected yet.
	requestMemoryShare = 0.25
	callMemoryShare    = 0.15
	connMemoryShare    = 0.1
	// changeMemoryShare is the largest change of a document as a share of the memory
	// limit. A replica has several copies of it in different forms at a time: decoded, as
	// text, in the log, in messages, and in a snapshot (docs/CAPACITY.md).
	changeMemoryShare = 1.0 / 64
	// defaultMemoryBytes is the memory limit from which the shares are taken if none is
	// set.
	defaultMemoryBytes = 2 << 30
)

// openMemory sets the memory limit of the Go runtime and of requests and calls.
func (d *Daemon) openMemory() {
	limit := d.memoryBytes()
	if d.cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
	d.requestMemory = memory.NewPool(int64(requestMemoryShare * float64(limit)))
	d.callMemory = memory.NewPool(int64(callMemoryShare * float64(limit)))
	d.connMemory = memory.NewPool(int64(connMemoryShare * float64(limit)))
	for name, p := range map[string]*memory.Pool{"requests": d.requestMemory, "calls": d.callMemory, "connections": d.connMemory} {
		metrics.GetOrCreateGauge(`bramleyquay_memory_used_bytes{of="`+name+`"}`, func() float64 { return float64(p.Used()) })
		metrics.GetOrCreateGauge(`bramleyquay_memory_refused{of="`+name+`"}`, func() float64 { return float64(p.Refused()) })
	}
}

// maxChangeBytes returns the largest change of a document that is accepted.
func (d *Daemon) maxChangeBytes() int { return int(changeMemoryShare * float64(d.memoryBytes())) }

// memoryBytes returns the memory from which the shares are taken.
func (d *Daemon) memoryBytes() int64 {
	if d.cfg.MemoryBytes > 0 {
		return d.cfg.MemoryBytes
	}
	return defaultMemoryBytes
}

// CallMemory returns the memory that calls of targets and operators share.
func (d *Daemon) CallMemory() *memory.Pool { return d.callMemory }
