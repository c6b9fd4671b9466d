package quota

import "math"

// Report is the part of a renewal that concerns limits.
type Report struct {
	// Incarnation is random for each start of a process.
	Incarnation uint64 `json:"i"`
	// Seq numbers the reports of an incarnation. Its start is taken from the incarnation,
	// so that a late reply to an earlier incarnation answers no report of a later one.
	Seq uint64 `json:"s"`
	// Term and Applied are the term of the last reply that the process has applied, and
	// the Seq of the report that it answered. Term is zero once the allotments of that
	// reply have expired.
	Term    uint64 `json:"t,omitempty"`
	Applied uint64 `json:"a,omitempty"`
	// Full is set if Items lists everything that the process holds. Otherwise it lists
	// what has changed since the last report whose reply was applied.
	Full  bool   `json:"f,omitempty"`
	Items []Item `json:"l,omitempty"`
	// Left is set in the last report of a process that stops: it holds nothing any more,
	// and uses nothing of later replies.
	Left bool `json:"e,omitempty"`
}

// Item is the part of a report that concerns one limit.
type Item struct {
	Name string `json:"n"`
	// Demand is the rate of requests, admitted and refused ones, per second.
	Demand float64 `json:"d,omitempty"`
	// Waiting is the number of requests that wait for the reply.
	Waiting int `json:"w,omitempty"`
	// Tokens is what remains of the tokens that were handed over.
	Tokens float64 `json:"x,omitempty"`
	// Returned counts the tokens that this incarnation has given back since its start.
	Returned float64 `json:"b,omitempty"`
	// Refused counts the requests that this incarnation has refused. It is sent with other
	// changes, or after refusedInterval.
	Refused uint64 `json:"r,omitempty"`
	// Allotted is set in full reports if the process has an allotment.
	Allotted *Allotment `json:"h,omitempty"`
}

// Allotment is the part of a limit that one process may use. It is a token bucket.
type Allotment struct {
	Rate  float64 `json:"r,omitempty"` // tokens per second
	Burst float64 `json:"b,omitempty"` // largest number of tokens
}

// IsZero reports whether the allotment allows nothing.
func (a Allotment) IsZero() bool { return a == Allotment{} }

// union returns the larger rate and the larger burst of two allotments.
func (a Allotment) union(b Allotment) Allotment {
	return Allotment{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)}
}

// Reply is the part of a renewal's reply that concerns limits. Unless Resync is set, it
// extends everything that the process holds.
type Reply struct {
	Term uint64 `json:"t"`
	// Seq is the number of the report that is answered.
	Seq uint64 `json:"s"`
	// Resync asks for a full report. The reply then extends nothing.
	Resync bool    `json:"f,omitempty"`
	Grants []Grant `json:"l,omitempty"`
}

// Grant changes what a process holds of one limit.
type Grant struct {
	Name string `json:"n"`
	// Allotment replaces the allotment of the process unless it is nil.
	Allotment *Allotment `json:"h,omitempty"`
	// Drop takes back the tokens that the process holds beside its allotment. They count
	// until the process reports that it has returned them.
	Drop bool `json:"z,omitempty"`
	// Fill is added to the bucket of the allotment.
	Fill float64 `json:"y,omitempty"`
	// Quick is the number of tokens for the waiting requests. They are used within
	// quickTime after the sending of the renewal, or never.
	Quick float64 `json:"q,omitempty"`
	// Tokens is added to the tokens that the process holds beside its allotment.
	Tokens float64 `json:"x,omitempty"`
	// Soon asks the process to renew early once it has used a token: until then the leader
	// has none for others.
	Soon bool `json:"e,omitempty"`
	// WaitMs is the time in milliseconds until the leader expects to have a token. It is
	// set if requests wait and got none.
	WaitMs int64 `json:"w,omitempty"`
}

// roundDown shortens a number for messages: to thousandths, and never up.
func roundDown(v float64) float64 { return math.Floor(v*1000) / 1000 }

// roundDemand shortens a demand to hundredths.
func roundDemand(v float64) float64 { return math.Round(v*100) / 100 }
