package hotkey

import (
	"math"
	"time"
)

// average is an exponential moving average. The first measurement initializes it.
type average struct {
	value       float64
	initialized bool
}

// add includes a measurement that was made dt after the last one.
func (a *average) add(v float64, dt, timeConstant time.Duration) {
	if !a.initialized {
		a.value, a.initialized = v, true
		return
	}
	a.value += (v - a.value) * (1 - math.Exp(-dt.Seconds()/timeConstant.Seconds()))
}
