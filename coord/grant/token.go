package grant

import (
	"encoding/json"
	"unicode/utf8"
)

const (
	// MaxTokenBytes bounds a handover token, which the control group stores.
	MaxTokenBytes = 256
	// maxTokenShare bounds a handover token to this part of an answer, so that the range does
	// not wait for an answer that has room for it.
	maxTokenShare = 8
)

// IsToken reports whether a text can be a handover token. Targets choose their tokens;
// messages carry them in JSON, which has no other bytes than UTF-8.
func IsToken(text string) bool { return len(text) <= MaxTokenBytes && utf8.ValidString(text) }

// jsonBytes returns the length of a text in JSON without its quotation marks.
func jsonBytes(text string) int {
	encoded, _ := json.Marshal(text) // all strings can be encoded
	return len(encoded) - len(`""`)
}
