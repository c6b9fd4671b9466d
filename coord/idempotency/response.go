package idempotency

// MaxBodyBytes is the largest response body that is recorded, in bytes. Larger
// responses are recorded without body to bound memory and replication traffic.
const MaxBodyBytes = 64 << 10

// Response is a target's response.
type Response struct {
	Status int                 `json:"status" cbor:"1,keyasint"`
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// BodyOmitted means that the response had a body larger than MaxBodyBytes. A
	// retry of the request receives the status and the header without the body.
	BodyOmitted bool `json:"bodyOmitted,omitempty" cbor:"4,keyasint,omitempty"`
}

// recorded returns r as it is stored in a record: without a body that is larger
// than MaxBodyBytes.
func (r Response) recorded() *Response {
	if len(r.Body) > MaxBodyBytes {
		r.Body, r.BodyOmitted = nil, true
	}
	return &r
}

// size estimates the memory of r in bytes; it is zero for nil.
func (r *Response) size() int64 {
	if r == nil {
		return 0
	}
	// Sizes in bytes. The smallest map of the Go runtime has room for eight entries.
	const responseOverhead, mapOverhead, headerOverhead, stringOverhead = 64, 330, 48, 16
	n := int64(responseOverhead + len(r.Body))
	if len(r.Header) > 0 {
		n += mapOverhead
	}
	for name, values := range r.Header {
		n += int64(headerOverhead + len(name))
		for _, v := range values {
			n += int64(stringOverhead + len(v))
		}
	}
	return n
}
