package ring_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ring"
	"bramleyquay.example/coord/table"
)

var ringConfig = ring.Config{Self: "b", Period: 250 * time.Millisecond, Timeout: time.Second}

// tickFor ticks every 50 ms and returns all actions except heartbeats.
func tickFor(d *ring.Detector, now *clock.Reading, length time.Duration) (actions []string) {
	for end := now.Add(length); now.Mono < end.Mono; {
		*now = now.Add(50 * time.Millisecond)
		for _, action := range d.Tick(*now) {
			if s, ok := action.(ring.Send); !ok || s.Message.Kind != ring.Heartbeat {
				actions = append(actions, fmt.Sprintf("%T", action))
			}
		}
	}
	return actions
}

// TestSuccessorFails guards against a failed member that stays in the ring,
// and against a check that does not go on with the next valid member.
func TestSuccessorFails(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	d := ring.NewDetector(ringConfig, []table.MemberID{"a", "b", "c", "d"}, now)
	is.Equal(d.Successor(), table.MemberID("c"))
	is.Equal(tickFor(d, &now, time.Second), nil)
	is.Equal(tickFor(d, &now, 100*time.Millisecond), []string{"ring.Suspect", "ring.Send", "ring.Send", "ring.Send"})
	is.Equal(d.Successor(), table.MemberID("d"))
	is.Equal(d.Members(), []table.MemberID{"a", "b", "d"})

	// The suspected member returns with a higher generation.
	d.Receive(now, ring.Message{Kind: ring.Joined, Member: "c"})
	is.Equal(d.Successor(), table.MemberID("d")) // a late message of its former life
	d.Receive(now, ring.Message{Kind: ring.Joined, Member: "c", Generation: 1})
	is.Equal(d.Successor(), table.MemberID("c"))
}

// TestOwnPause guards against a member that suspects its successor because it
// was paused itself.
func TestOwnPause(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	d := ring.NewDetector(ringConfig, []table.MemberID{"a", "b", "c"}, now)
	now = now.Add(time.Minute)
	is.Equal(tickFor(d, &now, 500*time.Millisecond), nil)
}

// TestSuspectedSelf guards against a living member that stays outside of the
// ring.
func TestSuspectedSelf(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	d := ring.NewDetector(ringConfig, []table.MemberID{"a", "b", "c"}, now)
	actions := d.Receive(now, ring.Message{Kind: ring.Failed, Member: "b", From: "a"})
	is.Equal(len(actions), 2)
	is.Equal(actions[0].(ring.Send).Message, ring.Message{Kind: ring.Joined, From: "b", Member: "b", Generation: 1})
}
