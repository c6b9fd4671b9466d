package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"github.com/fxamacker/cbor/v2"
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

// encodeRecord returns v as a record with its header.
func encodeRecord(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, &InvalidWriteError{Reason: fmt.Sprintf("record cannot be encoded: %v", err)}
	}
	if len(payload) > maxPayload {
		return nil, &InvalidWriteError{Reason: fmt.Sprintf("record of %d bytes is larger than %d", len(payload), maxPayload)}
	}
	record := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(record, uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(record[:4], castagnoli))
	binary.LittleEndian.PutUint32(record[8:], crc32.Checksum(payload, castagnoli))
	return append(record, payload...), nil
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

// nextRecord returns the payload of the record at the start of data and the
// data after it. It reports false if the record is damaged or incomplete.
func nextRecord(data []byte) (payload, rest []byte, ok bool) {
	n, ok := payloadLength(data)
	if !ok || n > len(data)-headerSize {
		return nil, nil, false
	}
	payload = data[headerSize : headerSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, nil, false
	}
	return payload, data[headerSize+n:], true
}

// torn reports whether the damaged record at the start of data can be the last
// write before a crash. It cannot be if data that was written later follows it: a
// record is written only after the one before it was synced. If the header is
// damaged, the length is not known, and every later byte is tried as the start of a
// record: a complete record further on shows that the damaged one had been
// complete.
func torn(data []byte) bool {
	if n, ok := payloadLength(data); ok {
		return n >= len(data)-headerSize
	}
	for i := 1; i+headerSize <= len(data); i++ {
		if _, _, ok := nextRecord(data[i:]); ok {
			return false
		}
	}
	return true
}
