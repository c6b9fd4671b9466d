package fleet_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bramleyquay.example/coord/fleet"
)

// drainOrder is an order of an operator on its way through one of several processes. base
// is the revision that the process has read, nil before.
type drainOrder struct {
	serial int
	on     bool
	base   *uint64
}

// drainModel is an operator that sends one order after the other, each to one process
// after the other until it is acknowledged. Processes and the network deliver what they
// have at any later time, and more than once.
type drainModel struct {
	t       *rapid.T
	state   *fleet.State
	index   uint64
	serial  int
	on      bool // what the last acknowledged order asked for
	waiting bool // for the answer to the last order
	late    []drainOrder
}

func (m *drainModel) send() {
	if !m.waiting || rapid.IntRange(0, 3).Draw(m.t, "gives up") == 0 {
		m.serial++
		m.on, m.waiting = rapid.Bool().Draw(m.t, "on"), true
	}
	m.late = append(m.late, drainOrder{serial: m.serial, on: m.on})
}

// deliver lets a process go on with an order that it has: read the revision and ask
// whether the operator waits, or propose.
func (m *drainModel) deliver() {
	i := rapid.IntRange(0, len(m.late)-1).Draw(m.t, "order")
	o := m.late[i]
	waits := m.waiting && o.serial == m.serial
	if o.base == nil {
		base := m.state.Revisions().Drain
		if waits {
			m.late[i].base = &base
		} else {
			m.late = slices.Delete(m.late, i, i+1)
		}
		return
	}
	m.index++
	data, err := fleet.EncodeCommand(fleet.Command{SetDrain: &fleet.SetDrain{DataCentre: "z", On: o.on, Base: o.base}})
	if err != nil {
		m.t.Fatal(err)
	}
	result, err := m.state.Apply(m.index, data)
	if err != nil {
		m.t.Fatal(err)
	}
	if rapid.Bool().Draw(m.t, "answered") && waits {
		m.waiting = result.Status != fleet.Accepted
		m.late[i].base = nil // after a conflict the process begins again
	}
}

// Guards against an order that undoes a later acknowledged one, because a process or the
// network delivers it late or twice.
func TestLateOrdersUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &drainModel{t: t, state: fleet.NewState()}
		for range 120 {
			if len(m.late) == 0 || rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				m.send()
			} else {
				m.deliver()
			}
			if drained := len(m.state.Drained()) > 0; m.serial > 0 && !m.waiting && drained != m.on {
				t.Fatalf("order %d asked for %v and was acknowledged; now it is %v", m.serial, m.on, drained)
			}
		}
	})
}
