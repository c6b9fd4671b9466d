package control

import "slices"

// maxDocuments bounds the documents in the history.
const maxDocuments = 200

// DocumentRevision is an accepted document of the operators.
type DocumentRevision struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	Author   string `json:"author" cbor:"2,keyasint"`
	ChangeID string `json:"changeId" cbor:"3,keyasint"`
	// Index is the log index of the change.
	Index uint64 `json:"index" cbor:"4,keyasint"`
	// Text is the document as JSON.
	Text []byte `json:"text" cbor:"5,keyasint"`
	// AtMs is the leader's wall clock when it received the change, in Unix
	// milliseconds.
	AtMs int64 `json:"atMs,omitempty" cbor:"6,keyasint,omitempty"`
}

// documentHistory holds recent documents, oldest first.
type documentHistory struct{ list []DocumentRevision }

func (h *documentHistory) last() DocumentRevision {
	if len(h.list) == 0 {
		return DocumentRevision{}
	}
	return h.list[len(h.list)-1]
}

func (h *documentHistory) add(d DocumentRevision) {
	h.list = append(h.list, d)
	if len(h.list) > maxDocuments {
		h.list = slices.Clone(h.list[len(h.list)-maxDocuments:])
	}
}

func (h *documentHistory) newest(limit int) []DocumentRevision {
	n := min(max(limit, 0), len(h.list))
	out := slices.Clone(h.list[len(h.list)-n:])
	slices.Reverse(out)
	return out
}
