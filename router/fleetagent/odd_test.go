package fleetagent

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/ranges"
)

// Guards against an announcement of another writer that names the target but cannot be
// from it, and that makes the process ignore the target, or gives other processes values
// with which they fail.
func TestOddAnnouncements(t *testing.T) {
	for name, change := range map[string]func(*Announcement){
		"start in the far future":  func(a *Announcement) { a.Incarnation = math.MaxInt64 },
		"negative start":           func(a *Announcement) { a.Incarnation = -5 },
		"sequence too large":       func(a *Announcement) { a.Sequence = math.MaxUint64 },
		"slots too large":          func(a *Announcement) { a.Slots = math.MaxInt },
		"negative slots":           func(a *Announcement) { a.Slots = -1 },
		"cold for centuries":       func(a *Announcement) { a.ColdRemaining = math.MaxInt64 },
		"long id":                  func(a *Announcement) { a.ID = strings.Repeat("x", 1<<16) },
		"control character in id":  func(a *Announcement) { a.ID = "t\r\nX-Not-Run: 1" },
		"id that is no text":       func(a *Announcement) { a.ID = "\xff\xfe" },
		"long token":               func(a *Announcement) { a.Ranges.Released = []ranges.Range{{HandoverToken: strings.Repeat("x", 1<<16)}} },
		"too many ranges":          func(a *Announcement) { a.Ranges.Held = make([]ranges.Range, 1<<16) },
		"range that ends too soon": func(a *Announcement) { a.Ranges.Held = []ranges.Range{{From: 7, To: 3}} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := testAgent()
			born := time.Now().UnixMilli()
			_, result := a.Announce(announcement("t", born, 1))
			is.Equal(result, AnnounceAccepted)
			odd := announcement("t", born+1, 2)
			change(&odd)
			_, result = a.Announce(odd)
			is.Equal(result, AnnounceMalformed)
			_, result = a.Announce(announcement("t", born, 3))
			is.Equal(result, AnnounceAccepted)
			at, known := a.Target()
			is.True(known && at.Accepts && at.ID == "t" && at.Slots == 4)
		})
	}
}
