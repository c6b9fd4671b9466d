package strictjson

import (
	"bytes"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// IsText reports whether JSON text is valid UTF-8 and its strings have no escapes that stand
// for no character. Package encoding/json accepts other text and decodes it to strings that it
// does not contain.
func IsText(text []byte) bool {
	_, lone := loneSurrogate(text)
	return !lone && utf8.Valid(text)
}

// loneSurrogate returns the offset of the first escape, such as \ud800, that is one half of a
// pair and stands without the other half, and whether there is one (RFC 8259, section 8.2).
func loneSurrogate(text []byte) (int, bool) {
	for i := 0; ; {
		next := bytes.IndexByte(text[i:], '\\')
		if next < 0 {
			return 0, false
		}
		i += next
		first, ok := escapedUnit(text[i:])
		switch second, paired := escapedUnit(text[min(i+escapeBytes, len(text)):]); {
		case !ok:
			i = min(i+2, len(text)) // an escape of one character, which may be a backslash
		case !utf16.IsSurrogate(first):
			i += escapeBytes
		case paired && utf16.DecodeRune(first, second) != utf8.RuneError:
			i += 2 * escapeBytes
		default:
			return i, true
		}
	}
}

// escapeBytes is the length of an escape with four hexadecimal digits.
const escapeBytes = len(`\u0000`)

// escapedUnit returns the UTF-16 code unit of the escape at the start of text, and whether
// there is one.
func escapedUnit(text []byte) (rune, bool) {
	if len(text) < escapeBytes || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapeBytes]), 16, 16)
	return rune(unit), err == nil
}
