package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"bramleyquay.example/router/memory"
)

// maxMessageBytes bounds the size of one jsonrpc2 message. A snapshot of a table
// of 66,000 units takes about 10 MB.
const maxMessageBytes = 64 << 20

// frameCodec encodes a jsonrpc2 message as its length in four bytes, big-endian,
// followed by the JSON.
type frameCodec struct {
	// memory bounds the messages that are read at the same time. Nil sets no bound.
	memory *memory.Pool
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return Error.New("message of %d bytes exceeds %d", len(data), maxMessageBytes)
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	if _, err := w.Write(size[:]); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxMessageBytes {
		return Error.New("message of %d bytes exceeds %d", n, maxMessageBytes)
	}
	account := c.memory.Open()
	defer account.Close()
	data, err := memory.ReadAll(account, io.LimitReader(r, int64(n)), int64(n), int64(n))
	if err == nil && len(data) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
