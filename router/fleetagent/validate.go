package fleetagent

import (
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

// Error is the class of this package's errors.
var Error = errs.Class("announcement")

const (
	// maxIDBytes bounds what each process stores of a target.
	maxIDBytes = 256
	// maxAnnouncedRanges is far above the ranges that a target may hold.
	maxAnnouncedRanges = 4096
	maxSlots           = 100_000
	// maxSequence is the largest number that all JSON writers write exactly.
	maxSequence = 1 << 53
	maxColdTime = 24 * time.Hour
	// maxClockLead is how far the clock of a target may be ahead: a start further in the
	// future would make all later ones of the target count as earlier.
	maxClockLead = time.Hour
)

// ErrMalformedID means that a text cannot be the id of a target: the header that addresses a
// request to the target cannot carry it, or it is too long.
var ErrMalformedID = Error.New("the id is not a text of at most %d bytes without control characters and without blanks at its ends", maxIDBytes)

// isID reports whether a text can be the id of a target, or is empty.
func isID(text string) bool {
	return len(text) <= maxIDBytes && utf8.ValidString(text) && !hasControl(text) && strings.Trim(text, " ") == text
}

// check returns why an announcement cannot be from a target. now is the wall clock in Unix
// milliseconds.
func (a *Announcement) check(now int64) error {
	switch {
	case !isID(a.ID):
		return ErrMalformedID
	case a.Incarnation < 0 || a.Incarnation > now+maxClockLead.Milliseconds():
		return Error.New("the start %d is not a time up to now in Unix milliseconds", a.Incarnation)
	case a.Slots < 0 || a.Slots > maxSlots:
		return Error.New("%d slots are not from 0 to %d", a.Slots, maxSlots)
	case a.Sequence > maxSequence:
		return Error.New("the sequence %d is above %d", a.Sequence, uint64(maxSequence))
	case a.ColdRemaining > maxColdTime:
		return Error.New("the cold period of %s is above %s", a.ColdRemaining, maxColdTime)
	case len(a.Ranges.Held) > maxAnnouncedRanges || len(a.Ranges.Released) > maxAnnouncedRanges:
		return Error.New("there are more than %d ranges", maxAnnouncedRanges)
	case slices.ContainsFunc(a.Ranges.Held, isOddRange) || slices.ContainsFunc(a.Ranges.Released, isOddRange):
		return Error.New("a range has no keys, or its token is not a text of at most %d bytes", grant.MaxTokenBytes)
	}
	return nil
}

func hasControl(text string) bool {
	for _, r := range text {
		if unicode.IsControl(r) {
			return true
		}
	}
	return false
}

func isOddRange(r ranges.Range) bool { return r.From > r.To || !grant.IsToken(r.HandoverToken) }
