package memory

import (
	"errors"
	"net/http"
)

// decodeFactor is the memory that a decoded JSON body takes, in bytes for each byte of the
// body.
const decodeFactor = 4

// ReadRequest reads the body of a request to net/http, of at most limit bytes, and charges
// it and its decoded form to an account, which the caller must close. If it fails, it
// answers with status 503 if there is no memory at the moment and with 400 otherwise, also
// if the pool never has enough for the body, and returns false.
func ReadRequest(p *Pool, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Account, bool) {
	account := p.Open()
	limit = min(limit, p.largest()/(1+decodeFactor))
	body, err := ReadAll(account, r.Body, r.ContentLength, limit)
	if err == nil {
		err = account.Grow(decodeFactor * int64(len(body)))
	}
	if err == nil {
		return body, account, true
	}
	account.Close()
	status := http.StatusBadRequest
	if errors.Is(err, ErrExhausted) {
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
	return nil, nil, false
}
