package timesource

import (
	"time"

	"golang.org/x/sys/unix"

	"bramleyquay.example/coord/clock"
)

// BootTime returns the time since the machine started on both clocks. It goes on
// while the machine is suspended and does not follow steps of the wall clock,
// so that leases may rely on it alone.
func BootTime() clock.Reading {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Now()
	}
	return clock.At(time.Duration(ts.Nano()))
}
