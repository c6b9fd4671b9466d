package memory

import "net/http"

const (
	// headerFieldBytes is the memory that one field of a header takes beside its text:
	// the entries of the map and of the list of values.
	headerFieldBytes = 128
	// headFactor is the memory that a head takes while it is parsed, in bytes for each
	// byte received. The worst case is a head of many short fields.
	headFactor = 24
)

// HeaderBytes returns the memory that a header takes, in bytes.
func HeaderBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += len(name) + headerFieldBytes
		for _, v := range values {
			n += len(v) + headerFieldBytes
		}
	}
	return int64(n)
}

// Head charges an account with a head that is received and parsed. The zero value
// charges nothing. It is not safe for concurrent use.
type Head struct {
	account *Account
	charged int64
}

// Start begins a head of which some bytes have been received before.
func (h *Head) Start(a *Account, received int) error {
	h.End()
	h.account = a
	return h.Add(received)
}

// Add charges n more bytes of the head.
func (h *Head) Add(n int) error {
	if h.account == nil {
		return nil
	}
	if err := h.account.Grow(headFactor * int64(n)); err != nil {
		return err
	}
	h.charged += headFactor * int64(n)
	return nil
}

// End returns the memory of the head, which has been parsed or discarded.
func (h *Head) End() {
	h.account.Shrink(h.charged)
	h.account, h.charged = nil, 0
}
