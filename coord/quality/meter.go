// Package quality measures which share of its requests a target itself rejects or
// fails, and derives the weight with which it should get more of them. It holds no
// clock; times are arguments.
package quality

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// Full is the weight, in eighths, of a target of good quality.
const Full = 8

// Normalize returns a weight in eighths as it is used: a value that is absent or out
// of range, such as that of an earlier version, counts as Full.
func Normalize(weight int) int {
	if weight <= 0 || weight > Full {
		return Full
	}
	return weight
}

// Outcome states how the target ended a request that it received. Refusals by the
// queue of its gate and requests whose caller disconnected have no outcome.
type Outcome uint8

const (
	// Good is a complete response with a status below 500.
	Good Outcome = iota
	// Rejected is a response of the target that it has not run the request.
	Rejected
	// Failed is a status of 500 or higher, or a broken, malformed or missing
	// response.
	Failed
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	switch o {
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	}
	return "good"
}

// Meter derives the weight of one incarnation of a target. It is not safe for
// concurrent use.
type Meter struct {
	cfg    Config
	weight int
	// changed is the time of the last change of the weight.
	changed time.Duration
	// badShare is the moving share of rejected and failed requests.
	badShare float64
	lastBad  time.Duration
	// goodInRow and badInRow count responses; goodInRow starts anew at each change.
	goodInRow, badInRow int
	// published is the last published weight, notAbove the last time at which the
	// weight was found not to be above it.
	published int
	notAbove  time.Duration
}

// NewMeter returns the meter of a target of full weight.
func NewMeter(cfg Config) *Meter { return &Meter{cfg: cfg, weight: Full, published: Full} }

// Weight returns the weight in eighths: 8, 4, 2 or 1.
func (m *Meter) Weight() int { return m.weight }

// Published returns the weight for the directory. It falls with the weight and rises to
// it after PublishTime. It must be called several times a second.
func (m *Meter) Published(now clock.Reading) int {
	if m.weight <= m.published || now.Mono-m.notAbove >= m.cfg.PublishTime {
		m.published, m.notAbove = m.weight, now.Mono
	}
	return m.published
}

// BadShare returns the recent share of rejected and failed requests.
func (m *Meter) BadShare() float64 { return m.badShare }

// Record counts the end of one request and reports whether the weight changed. The
// weight falls at once to the step of the measured share. It rises one step at a time:
// after HoldTime, and after a number of good responses in a row or QuietTime without a
// bad one.
func (m *Meter) Record(now clock.Reading, o Outcome) bool {
	if o == Good {
		m.badShare -= shareWeight * m.badShare
		m.badInRow, m.goodInRow = 0, m.goodInRow+1
	} else {
		m.badShare += shareWeight * (1 - m.badShare)
		m.badInRow, m.goodInRow, m.lastBad = m.badInRow+1, 0, now.Mono
	}
	before := m.weight
	if measured := m.measured(); measured < m.weight {
		m.set(now, measured)
	} else if m.mayRise(now) {
		m.rise(now)
	}
	return m.weight != before
}

// measured returns the weight that the measured quality allows.
func (m *Meter) measured() int {
	if m.badInRow >= badInRowLimit {
		return steps[0].weight
	}
	for _, s := range steps {
		if m.badShare >= s.badShare {
			return s.weight
		}
	}
	return Full
}

// mayRise reports whether the present step has ended.
func (m *Meter) mayRise(now clock.Reading) bool {
	if m.weight == Full || m.goodInRow == 0 || now.Mono-m.changed < m.cfg.HoldTime {
		return false
	}
	return m.goodInRow >= steps[m.index()].goodInRow || now.Mono-m.lastBad >= m.cfg.QuietTime
}

// rise sets the next higher weight. The share of bad responses stays near the bound of
// the step that ended, so that a target that is still bad loses the weight again soon.
func (m *Meter) rise(now clock.Reading) {
	i := m.index()
	next := Full
	if i+1 < len(steps) {
		next = steps[i+1].weight
	}
	m.badShare = min(m.badShare, steps[i].badShare/2)
	m.set(now, next)
}

func (m *Meter) set(now clock.Reading, weight int) {
	m.weight, m.changed, m.goodInRow = weight, now.Mono, 0
}

// index returns the index in steps of the present weight, which is below Full.
func (m *Meter) index() int {
	for i, s := range steps {
		if s.weight == m.weight {
			return i
		}
	}
	return len(steps) - 1
}
