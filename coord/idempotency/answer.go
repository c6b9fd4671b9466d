package idempotency

// MaxBodyBytes is the largest answer body that is recorded, in bytes. Larger
// answers are recorded without body to bound memory and copy traffic.
const MaxBodyBytes = 64 << 10

// Response is a target's response.
type Response struct {
	Status int                 `json:"status" cbor:"1,keyasint"`
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// BodyOmitted says that the response had a body larger than MaxBodyBytes. A
	// repeat of the request receives the status without body.
	BodyOmitted bool `json:"bodyOmitted,omitempty" cbor:"4,keyasint,omitempty"`
}

// recorded returns a as it is kept in a record.
func (a Response) recorded() *Response {
	if len(a.Body) > MaxBodyBytes {
		a.Body, a.BodyOmitted = nil, true
	}
	return &a
}

func (a *Response) size() int64 {
	if a == nil {
		return 0
	}
	// The smallest map of the Go runtime has room for eight entries.
	const answerOverhead, mapOverhead, headerOverhead = 64, 330, 48
	n := int64(answerOverhead + len(a.Body))
	if len(a.Header) > 0 {
		n += mapOverhead
	}
	for name, values := range a.Header {
		n += int64(headerOverhead + len(name))
		for _, v := range values {
			n += int64(16 + len(v))
		}
	}
	return n
}
