package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"github.com/fxamacker/cbor/v2"

	"bramleyquay.example/coord/raft"
)

// A record is: length of the payload (4 bytes), CRC-32C of the length (4),
// CRC-32C of the payload (4), all little-endian, then the payload. The length
// has its own checksum, because a damaged length in the middle of a file would
// otherwise look like a torn last record.
const headerSize = 12

// maxPayload bounds the payload of a record in bytes. Larger ones are refused
// before a write.
const maxPayload = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var encoder = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// decoder refuses duplicate keys. Its limit of array elements is raised because one
// Save may hold more entries than the default of 131,072.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: math.MaxInt32,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// entryOverhead is the space that one entry takes in a record beside its data, at most,
// in bytes.
const entryOverhead = 64

// snapshotOverhead is the space of a snapshot's membership in a record, roughly.
const snapshotOverhead = 1 << 10

// entriesSize returns the size of a record of entries, at most, in bytes.
func entriesSize(entries []raft.Entry) int {
	size := 2 * entryOverhead
	for i := range entries {
		size += len(entries[i].Data) + entryOverhead
	}
	return size
}

// encodeRecord returns v as a record with its header. sizeHint is the expected size of
// the payload; a record that is larger is copied while it is encoded.
func encodeRecord(v any, sizeHint int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(headerSize + sizeHint)
	buf.Write(make([]byte, headerSize))
	if err := encoder.MarshalToBuffer(v, &buf); err != nil {
		return nil, &InvalidWriteError{Reason: fmt.Sprintf("record cannot be encoded: %v", err)}
	}
	record := buf.Bytes()
	payload := record[headerSize:]
	if len(payload) > maxPayload {
		return nil, &InvalidWriteError{Reason: fmt.Sprintf("record of %d bytes is larger than %d", len(payload), maxPayload)}
	}
	binary.LittleEndian.PutUint32(record, uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(record[:4], castagnoli))
	binary.LittleEndian.PutUint32(record[8:], crc32.Checksum(payload, castagnoli))
	return record, nil
}

// payloadLength returns the payload length in bytes of the record at the start of
// data. It reports false if the header is damaged or incomplete.
func payloadLength(data []byte) (int, bool) {
	if len(data) < headerSize || crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data)
	return int(n), n <= maxPayload
}
