package memory

import (
	"errors"
	"io"
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("the body is too long")

// firstPartBytes bounds the memory that is taken for a body before a byte of it has
// arrived, so that a declared length alone takes none.
const firstPartBytes = 64 << 10

// ReadAll reads r to its end. length is the number of bytes that is expected, or
// negative. It returns ErrTooLong after more than limit bytes and ErrExhausted if the
// account cannot take the bytes; up to then the bytes are returned with the error.
func ReadAll(a *Account, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	size := int64(firstPartBytes / 16)
	if length >= 0 {
		// One byte more, so that the read that finds the end needs no growth.
		size = min(length+1, firstPartBytes)
	}
	if err := a.Grow(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			grown, err := grow(a, buf, length)
			if err != nil {
				return buf, err
			}
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return buf, ErrTooLong
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}

// grow returns a copy of buf with twice its capacity, or with the expected length if
// that is less. Both are counted until the bytes are copied.
func grow(a *Account, buf []byte, length int64) ([]byte, error) {
	size := 2 * int64(cap(buf))
	if length >= 0 && int64(len(buf)) <= length {
		size = min(size, length+1)
	}
	if err := a.Grow(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), buf...)
	a.Shrink(int64(cap(buf)))
	return grown, nil
}
