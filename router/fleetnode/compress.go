package fleetnode

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
)

// content is what a packed reply carries.
type content struct {
	Document *routes.Document `json:"document,omitempty"`
	Patch    *routes.Patch    `json:"patch,omitempty"`
}

// packer compresses changes of the document. Many members ask for the same
// change at once, so that the last ones are kept.
type packer struct{ kept []packedChange }

type packedChange struct {
	from, to uint64
	data     []byte
}

// maxKept bounds the changes that are kept: those between a few versions.
const maxKept = 16

// pack returns the packed form of the document's change in a reply, nil if
// there is none. from is the log index of the document that the member knows.
func (p *packer) pack(from uint64, r *fleet.RenewalReply) ([]byte, error) {
	if r.Document == nil && r.Patch == nil {
		return nil, nil
	}
	to := r.Revisions.Document
	for _, k := range p.kept {
		if k.from == from && k.to == to {
			return k.data, nil
		}
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		err = json.NewEncoder(w).Encode(content{Document: r.Document, Patch: r.Patch})
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p.kept = append(p.kept, packedChange{from: from, to: to, data: buf.Bytes()})
	if len(p.kept) > maxKept {
		p.kept = p.kept[1:]
	}
	return buf.Bytes(), nil
}

// maxUnpacked bounds a document in bytes.
const maxUnpacked = 64 << 20

// DecompressDocument restores the document's change of a reply.
func DecompressDocument(r *fleet.RenewalReply) error {
	if len(r.Compressed) == 0 {
		return nil
	}
	var c content
	in := io.LimitReader(flate.NewReader(bytes.NewReader(r.Compressed)), maxUnpacked)
	if err := json.NewDecoder(in).Decode(&c); err != nil {
		return Error.Wrap(err)
	}
	r.Document, r.Patch = c.Document, c.Patch
	return nil
}
