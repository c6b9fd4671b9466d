package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// errDamaged means that the next record of a file is damaged or incomplete.
var errDamaged = errors.New("the record is damaged")

// recordReader reads the records of a file one after the other. It holds one record in
// memory at a time, so that a start does not take more for a longer log.
type recordReader struct {
	fsys FS
	name string
	file File
	in   *bufio.Reader
	size int64 // of the file in bytes
	// offset is the position of the next record.
	offset  int64
	payload []byte // of the last record; reused
}

// openRecords opens a file for reading. The caller closes the reader.
func openRecords(fsys FS, name string) (*recordReader, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return &recordReader{fsys: fsys, name: name, file: f, in: bufio.NewReader(f), size: size}, nil
}

func (r *recordReader) close() error { return r.file.Close() }

// next returns the payload of the next record, which is valid until the following call.
// The error is io.EOF at the end of the file, errDamaged, or that of the file. After an
// error no further record can be read; offset stays at the damaged record.
func (r *recordReader) next() ([]byte, error) {
	if r.offset == r.size {
		return nil, io.EOF
	}
	header, err := r.in.Peek(headerSize)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	n, ok := payloadLength(header)
	if !ok || int64(n) > r.remaining()-headerSize {
		return nil, errDamaged
	}
	checksum := binary.LittleEndian.Uint32(header[8:])
	if cap(r.payload) < n {
		r.payload = make([]byte, n)
	}
	payload := r.payload[:n]
	if _, err := r.in.Discard(headerSize); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(r.in, payload); err != nil {
		return nil, err
	}
	if crc32.Checksum(payload, castagnoli) != checksum {
		return nil, errDamaged
	}
	r.offset += headerSize + int64(n)
	return payload, nil
}

func (r *recordReader) remaining() int64 { return r.size - r.offset }

// torn reports whether the damaged record at offset can be the last write before a
// crash. It cannot be if data that was written later follows it: a record is written
// only after the one before it was synced. If the header is damaged, the length is not
// known, and every later byte is tried as the start of a record: a complete record
// further on shows that the damaged one had been complete. The file is read again from
// the start.
func (r *recordReader) torn() (torn bool, err error) {
	f, in, err := r.openAt(r.offset)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	header, err := in.Peek(headerSize)
	if err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	if n, ok := payloadLength(header); ok {
		return int64(n) >= r.remaining()-headerSize, nil
	}
	for at := r.offset + 1; at+headerSize <= r.size; at++ {
		if _, err := in.Discard(1); err != nil {
			return false, err
		}
		header, err := in.Peek(headerSize)
		if err != nil {
			return false, err
		}
		if n, ok := payloadLength(header); ok && at+headerSize+int64(n) <= r.size {
			complete, err := r.hasChecksum(at+headerSize, int64(n), binary.LittleEndian.Uint32(header[8:]))
			if complete || err != nil {
				return false, err
			}
		}
	}
	return true, nil
}

// hasChecksum reports whether the n bytes at a position have a checksum.
func (r *recordReader) hasChecksum(at, n int64, checksum uint32) (ok bool, err error) {
	f, in, err := r.openAt(at)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	h := crc32.New(castagnoli)
	if _, err := io.CopyN(h, in, n); err != nil {
		return false, err
	}
	return h.Sum32() == checksum, nil
}

// openAt opens the file for reading from a position.
func (r *recordReader) openAt(at int64) (File, *bufio.Reader, error) {
	f, err := r.fsys.Open(r.name)
	if err != nil {
		return nil, nil, err
	}
	in := bufio.NewReader(f)
	if _, err := io.CopyN(io.Discard, in, at); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return f, in, nil
}

// readRecord decodes the record of a file that has only one. The error is a
// *CorruptError if the file is damaged, or wraps that of the file system.
func readRecord(fsys FS, name string, v any) (err error) {
	r, err := openRecords(fsys, name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, r.close()) }()
	payload, err := r.next()
	switch {
	case err == nil && r.remaining() > 0, errors.Is(err, errDamaged), errors.Is(err, io.EOF):
		return &CorruptError{File: name, Reason: errDamaged.Error()}
	case err != nil:
		return fmt.Errorf("store: %w", err)
	}
	if err := decoder.Unmarshal(payload, v); err != nil {
		return &CorruptError{File: name, Reason: err.Error()}
	}
	return nil
}
