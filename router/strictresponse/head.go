package strictresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// head is what the head of a response says about the end of the response.
type head struct {
	status int
	// minor is the minor version of the protocol.
	minor int
	// length is the value of Content-Length.
	hasLength bool
	length    uint64
	chunked   bool
}

// parseStatusLine parses the status line (RFC 9112, section 4). The blank before an empty
// reason may be missing, and there may be several before the status.
func (h *head) parseStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return &FormatError{Reason: "the status line does not begin with a version of HTTP/1"}
	}
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(code) != 3 || !isDigits(code) {
		return &FormatError{Reason: "the status is not a number of three digits"}
	}
	h.minor = minor
	h.status, _ = strconv.Atoi(code) // it has three digits
	switch {
	case h.status < http.StatusContinue:
		return &FormatError{Reason: "the status is below 100"}
	case h.status == http.StatusSwitchingProtocols:
		return &FormatError{Reason: "the server switches to a protocol that was not requested"}
	case !httpguts.ValidHeaderFieldValue(reason):
		return &FormatError{Reason: "the reason phrase has a control character"}
	}
	return nil
}

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// parseField parses a line of the head.
func (h *head) parseField(line []byte) error {
	name, value, err := parseFieldLine(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, contentLength):
		return h.setLength(string(value))
	case bytes.EqualFold(name, transferEncoding):
		if h.chunked || !bytes.EqualFold(value, chunked) {
			return &FormatError{Reason: "the transfer coding is not chunked alone"}
		}
		h.chunked = true
	}
	return nil
}

// setLength sets the length of the body. A field may be repeated with the same value.
func (h *head) setLength(value string) error {
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil || !isDigits(value) {
		return &FormatError{Reason: "Content-Length is not a number"}
	}
	if h.hasLength && h.length != uint64(length) {
		return &FormatError{Reason: "Content-Length has two values"}
	}
	h.hasLength, h.length = true, uint64(length)
	return nil
}

// checkFraming checks that there is one way to find the end of the response (RFC 9112,
// section 6).
func (h *head) checkFraming() error {
	switch {
	case h.chunked && h.hasLength:
		return &FormatError{Reason: "there is a transfer coding and a Content-Length"}
	case h.chunked && h.minor == 0:
		return &FormatError{Reason: "there is a transfer coding in HTTP/1.0"}
	}
	return nil
}

// parseFieldLine parses a field line (RFC 9112, section 5), whose value comes without blanks
// around it. Lines that continue the one before are refused.
func parseFieldLine(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, &FormatError{Reason: "a field line begins with a blank"}
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return nil, nil, &FormatError{Reason: "a field line has no colon"}
	case !isToken(name):
		return nil, nil, &FormatError{Reason: "the name of a field is not a token"}
	case hasControl(value):
		return nil, nil, &FormatError{Reason: "the value of a field has a control character"}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isToken and hasControl check bytes as httpguts checks strings, without a copy of each
// line.
func isToken(name []byte) bool {
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(name) > 0
}

func hasControl(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// maxChunkDigits is the number of digits in which net/http reads the size of a chunk.
const maxChunkDigits = 16

// parseChunkSize parses the line before a chunk (RFC 9112, section 7.1). Extensions have no
// meaning.
func parseChunkSize(line []byte) (uint64, error) {
	digits, _, _ := strings.Cut(string(line), ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || len(digits) > maxChunkDigits {
		return 0, &FormatError{Reason: "the size of a chunk is not a number"}
	}
	return size, nil
}

func isDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}
