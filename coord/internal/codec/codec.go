// Package codec is the binary form of commands and snapshots of replicated
// states: equal values have equal bytes.
package codec

import "github.com/fxamacker/cbor/v2"

// Codec writes and reads values.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec that reads lists and maps of at most maxElements.
func New(maxElements int) Codec {
	return Codec{
		enc: must(cbor.CanonicalEncOptions().EncMode()),
		dec: must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()),
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns the bytes of v.
func (c Codec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal reads what Marshal returned into v.
func (c Codec) Unmarshal(data []byte, v any) error { return c.dec.Unmarshal(data, v) }
