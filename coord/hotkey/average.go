package hotkey

import (
	"math"
	"time"
)

// average is an exponential moving average.
type average struct {
	value float64
	set   bool
}

// add includes a measurement that is dt after the last one.
func (a *average) add(v float64, dt, constant time.Duration) {
	if !a.set {
		a.value, a.set = v, true
		return
	}
	a.value += (v - a.value) * (1 - math.Exp(-dt.Seconds()/constant.Seconds()))
}
