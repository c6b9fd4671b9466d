package control

import "github.com/cespare/xxhash/v2"

// changeMemory is the number of operator changes whose results are kept. At
// 5,500 changes a day it covers more than a day of late resends.
const changeMemory = 10_000

// changeRecord is the first result of an operator change.
type changeRecord struct {
	ID     string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Result Result `cbor:"3,keyasint"`
}

// changeLog remembers the results of recent changes, oldest first.
type changeLog struct {
	records []changeRecord
	byID    map[string]changeRecord
}

func (l *changeLog) find(id string) (changeRecord, bool) {
	r, ok := l.byID[id]
	return r, ok
}

func (l *changeLog) add(r changeRecord) {
	if l.byID == nil {
		l.byID = map[string]changeRecord{}
	}
	if len(l.records) >= changeMemory {
		delete(l.byID, l.records[0].ID)
		l.records = l.records[1:]
	}
	l.records = append(l.records, r)
	l.byID[r.ID] = r
}

// commandDigest tells a resent change from another one with the same id.
func commandDigest(c Command) uint64 {
	if d := c.ApplyDocument; d != nil {
		timeless := *d
		timeless.AtMs = 0
		c.ApplyDocument = &timeless
	}
	data, err := EncodeCommand(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
