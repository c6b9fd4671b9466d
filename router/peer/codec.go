package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
)

// maxMessageBytes bounds one jsonrpc2 message. A snapshot of the table at
// 66,000 units takes about 10 MB.
const maxMessageBytes = 64 << 20

// frameCodec writes each jsonrpc2 message as JSON after its length.
type frameCodec struct{}

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
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxMessageBytes {
		return Error.New("message of %d bytes exceeds %d", n, maxMessageBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
