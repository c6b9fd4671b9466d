package ringdetector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ringdetector"
	"bramleyquay.example/coord/table"
)

var ringConfig = ringdetector.Config{Self: "b", Period: 250 * time.Millisecond, Timeout: time.Second}

// tickFor ticks every 50 ms and returns all actions except heartbeats.
func tickFor(d *ringdetector.Detector, now *clock.Reading, length time.Duration) (actions []string) {
	for end := now.Add(length); now.Mono < end.Mono; {
		*now = now.Add(50 * time.Millisecond)
		for _, action := range d.Tick(*now) {
			if s, ok := action.(ringdetector.Send); !ok || s.Message.Kind != ringdetector.Heartbeat {
				actions = append(actions, fmt.Sprintf("%T", action))
			}
		}
	}
	return actions
}

// TestSuccessorFails guards against a failed member that remains in the ring, and
// against a detector that does not check the next member then.
func TestSuccessorFails(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	d := ringdetector.NewDetector(ringConfig, []table.MemberID{"a", "b", "c", "d"}, now)
	is.Equal(d.Successor(), table.MemberID("c"))
	is.Equal(tickFor(d, &now, time.Second), nil)
	is.Equal(tickFor(d, &now, 100*time.Millisecond), []string{"ringdetector.Suspect", "ringdetector.Send", "ringdetector.Send", "ringdetector.Send"})
	is.Equal(d.Successor(), table.MemberID("d"))
	is.Equal(d.Members(), []table.MemberID{"a", "b", "d"})

	// The suspected member rejoins with a higher generation.
	d.Receive(now, ringdetector.Message{Kind: ringdetector.Joined, Member: "c"})
	is.Equal(d.Successor(), table.MemberID("d")) // a late message of its old generation
	d.Receive(now, ringdetector.Message{Kind: ringdetector.Joined, Member: "c", Generation: 1})
	is.Equal(d.Successor(), table.MemberID("c"))
}

// TestOwnPause guards against a member that suspects its successor because it
// was paused itself.
func TestOwnPause(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	d := ringdetector.NewDetector(ringConfig, []table.MemberID{"a", "b", "c"}, now)
	now = now.Add(time.Minute)
	is.Equal(tickFor(d, &now, 500*time.Millisecond), nil)
}

// TestSuspectedSelf guards against a running member that does not rejoin the ring
// after it was suspected.
func TestSuspectedSelf(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	d := ringdetector.NewDetector(ringConfig, []table.MemberID{"a", "b", "c"}, now)
	actions := d.Receive(now, ringdetector.Message{Kind: ringdetector.Failed, Member: "b", From: "a"})
	is.Equal(len(actions), 2)
	is.Equal(actions[0].(ringdetector.Send).Message, ringdetector.Message{Kind: ringdetector.Joined, From: "b", Member: "b", Generation: 1})
}
