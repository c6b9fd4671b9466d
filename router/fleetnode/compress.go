package fleetnode

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
)

// documentChange is the content of RenewalReply.Compressed: the document or a
// patch of it, as compressed JSON.
type documentChange struct {
	Document *routes.Document `json:"document,omitempty"`
	Patch    *routes.Patch    `json:"patch,omitempty"`
}

// changeCompressor compresses changes of the document. Many members ask for
// the same change at once, so the latest results are cached.
type changeCompressor struct{ cached []compressedChange }

// compressedChange is the compressed change between two document revisions.
type compressedChange struct {
	from, to uint64
	data     []byte
}

const (
	// maxCachedChanges is the largest number of cached changes. It covers the
	// changes between a few document versions.
	maxCachedChanges = 16
	// maxCachedBytes bounds the memory of the cached changes, unless the newest one
	// alone is larger.
	maxCachedBytes = 4 << 20
)

// compress returns the compressed change of the document in a reply, or nil if
// the reply has none. from is the log index of the document that the member
// has applied.
func (c *changeCompressor) compress(from uint64, reply *fleet.RenewalReply) ([]byte, error) {
	if reply.Document == nil && reply.Patch == nil {
		return nil, nil
	}
	if reply.Patch == nil {
		from = 0 // the whole document does not depend on what the member has
	}
	to := reply.Revisions.Document
	for _, entry := range c.cached {
		if entry.from == from && entry.to == to {
			return entry.data, nil
		}
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		err = json.NewEncoder(w).Encode(documentChange{Document: reply.Document, Patch: reply.Patch})
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.cached = append(c.cached, compressedChange{from: from, to: to, data: buf.Bytes()})
	c.dropOldest()
	return buf.Bytes(), nil
}

// dropOldest removes the oldest changes beyond maxCachedChanges and maxCachedBytes.
func (c *changeCompressor) dropOldest() {
	first, bytes := len(c.cached), 0
	for first > 0 && len(c.cached)-first < maxCachedChanges {
		if bytes += len(c.cached[first-1].data); bytes > maxCachedBytes && first < len(c.cached) {
			break
		}
		first--
	}
	c.cached = slices.Clone(c.cached[first:])
}

// maxDecompressedBytes is the largest accepted size of a document.
const maxDecompressedBytes = 64 << 20

// DecompressDocument sets the Document and Patch of a reply from its
// Compressed field. It does nothing if that is empty, and returns an error if
// it cannot be decoded.
func DecompressDocument(reply *fleet.RenewalReply) error {
	if len(reply.Compressed) == 0 {
		return nil
	}
	var change documentChange
	in := io.LimitReader(flate.NewReader(bytes.NewReader(reply.Compressed)), maxDecompressedBytes)
	if err := json.NewDecoder(in).Decode(&change); err != nil {
		return Error.Wrap(err)
	}
	reply.Document, reply.Patch = change.Document, change.Patch
	return nil
}
