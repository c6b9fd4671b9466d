package timesource

import (
	"time"

	"golang.org/x/sys/unix"

	"bramleyquay.example/coord/clock"
)

// BootTime returns a reading whose two clocks both show the time since the machine
// was booted. It includes time in which the machine was suspended and is not
// changed by steps of the wall clock, so that a lease needs no second clock. If the
// clock cannot be read it returns Now(), which cannot be compared with other
// readings of BootTime.
func BootTime() clock.Reading {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Now()
	}
	return clock.At(time.Duration(ts.Nano()))
}
