// Package codec encodes the commands and snapshots of replicated state machines as
// canonical CBOR: all replicas encode equal values as equal bytes.
package codec

import "github.com/fxamacker/cbor/v2"

// Codec encodes and decodes values. It is safe for concurrent use.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec that refuses to decode lists and maps of more than
// maxElements elements. It panics if maxElements is negative, from 1 to 15, or above
// 2147483647; zero selects the default of package cbor, 131072.
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

// Marshal returns the encoding of v.
func (c Codec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal decodes data, as returned by Marshal, into v.
func (c Codec) Unmarshal(data []byte, v any) error { return c.dec.Unmarshal(data, v) }
