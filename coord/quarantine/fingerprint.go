// Package quarantine finds requests that end the targets that run them, from the
// crashes that several processes see, and decides when such requests are refused. A
// Detector at each process finds the requests that a target ran when it ended; one
// Registry counts for how many targets in a row that holds.
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are alike: the same caller sends the same
// method, host, path with query, and body.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. The parts are those that
// identify it besides the body, in a fixed order.
func NewFingerprint(body []byte, parts ...string) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p) // a Digest returns no errors
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(n), err
}
