package routes

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("routes")

// KeyHash is the first 16 bytes of the SHA-256 hash of a key. The zero value stands for
// a key that no caller can send; it belongs to no account.
type KeyHash [16]byte

// HashKey returns the hash of a key. It is zero if a caller cannot send the key in a
// header: the key is empty or has spaces or control characters.
func HashKey(key string) KeyHash {
	if !isSendable(key) {
		return KeyHash{}
	}
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// HashKeys returns the hashes of keys, in their order.
func HashKeys(keys []string) []KeyHash {
	var out []KeyHash
	for _, k := range keys {
		out = append(out, HashKey(k))
	}
	return out
}

// isSendable reports whether a key can follow the scheme of an Authorization header.
func isSendable(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return false
		}
	}
	return key != ""
}

// String implements fmt.Stringer. It does not show the hash, so that printing an
// account does not write it to a log.
func (KeyHash) String() string { return "[key]" }

// GoString implements fmt.GoStringer. It does not show the hash.
func (h KeyHash) GoString() string { return h.String() }

var keyHashEncoding = base64.RawURLEncoding

// MarshalText implements encoding.TextMarshaler, for documents that processes send to
// each other as JSON.
func (h KeyHash) MarshalText() ([]byte, error) {
	return keyHashEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Its error does not quote the text.
func (h *KeyHash) UnmarshalText(text []byte) error {
	data, err := keyHashEncoding.AppendDecode(nil, text)
	if err != nil || len(data) != len(h) {
		return Error.New("the hash of a key does not have %d bytes in base64", len(h))
	}
	*h = KeyHash(data)
	return nil
}
