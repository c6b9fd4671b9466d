package settings

import (
	"crypto/subtle"
	"fmt"
	"log/slog"
)

// MinSecretLength is the minimum length of a shared secret in characters.
const MinSecretLength = 16

const redacted = "[secret]"

// Secret is the shared secret. Formatting and encoding it gives a fixed text. The
// value is behind a pointer, because fmt prints unexported string fields of
// enclosing structs without calling any method.
type Secret struct{ value *string }

// NewSecret returns a secret with the given value.
func NewSecret(value string) Secret { return Secret{value: &value} }

// Bytes returns the value, nil if none is set. Callers must not log or send it.
func (s Secret) Bytes() []byte {
	if s.value == nil {
		return nil
	}
	return []byte(*s.value)
}

// IsSet reports whether there is a value, even an empty one.
func (s Secret) IsSet() bool { return s.value != nil }

// Equal compares in constant time.
func (s Secret) Equal(other Secret) bool {
	return subtle.ConstantTimeCompare(s.Bytes(), other.Bytes()) == 1
}

// SetString implements strictjson.StringSetter.
func (s *Secret) SetString(value string) { s.value = &value }

// Format implements fmt.Formatter for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// String returns a fixed text.
func (s Secret) String() string { return redacted }

// GoString returns a fixed text.
func (s Secret) GoString() string { return redacted }

// MarshalText returns a fixed text, also for JSON.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// LogValue returns a fixed text.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }
