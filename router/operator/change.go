package operator

import (
	"time"

	"bramleyquay.example/router/settings"
)

// ApplyRequest submits a new document.
type ApplyRequest struct {
	// Base is the revision that Text was made from.
	Base uint64 `json:"base"`
	// ChangeID is chosen by the sender and is the same in every retry of a change.
	ChangeID string `json:"changeId"`
	// Author is the operator's name in the history.
	Author string `json:"author"`
	// Text is the document as JSON with comments. It is stored in canonical form,
	// without comments and layout.
	Text string `json:"text"`
}

// ApplyReply answers an ApplyRequest.
type ApplyReply struct {
	// Revision is the accepted revision, or 0 if nothing was accepted.
	Revision uint64 `json:"revision,omitempty"`
	// Conflict is set if Base is not the current revision.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Findings are the reasons if neither Revision nor Conflict is set, and
	// warnings otherwise.
	Findings []settings.Finding `json:"findings,omitempty"`
}

// Conflict is the current document after another change was accepted first.
type Conflict struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Text     string `json:"text"`
}

// PreviewRequest is the body of a preview.
type PreviewRequest struct {
	Text string `json:"text"`
}

// PreviewReply describes what a document would change.
type PreviewReply struct {
	// Base is the current revision, against which the preview was made.
	Base uint64 `json:"base"`
	// UnitsMoved is the number of units that must change owner because the
	// document no longer allows the data centre of the current one.
	UnitsMoved int `json:"unitsMoved"`
	// LoadMoved is the share of all units that UnitsMoved is, from 0 to 1. It
	// estimates the load moved as if each unit carried the same load.
	LoadMoved float64            `json:"loadMoved"`
	Findings  []settings.Finding `json:"findings,omitempty"`
	// Diff is the diff by line from the current document to the new one, in the
	// format of document.Diff. It is empty if they are equal.
	Diff string `json:"diff"`
}

// Change is one accepted change of the document.
type Change struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	ChangeID string    `json:"changeId"`
	At       time.Time `json:"at"`
	// Summary is reserved for a short description of the change. It is not set
	// at present.
	Summary string `json:"summary,omitempty"`
}

// DocumentReply is one revision of the document.
type DocumentReply struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Text     string    `json:"text"`
}
