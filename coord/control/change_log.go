package control

import "github.com/cespare/xxhash/v2"

// maxChanges is the number of operator changes whose results are retained. At
// 5,500 changes a day it covers late retries for more than a day.
const maxChanges = 10_000

// changeRecord is the result of an operator's change when it was first applied.
type changeRecord struct {
	ID     string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Result Result `cbor:"3,keyasint"`
}

// changeLog holds the results of recent changes, oldest first, so that a retry
// gets the first result and has no second effect.
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
	if len(l.records) >= maxChanges {
		delete(l.byID, l.records[0].ID)
		l.records = l.records[1:]
	}
	l.records = append(l.records, r)
	l.byID[r.ID] = r
}

// commandDigest returns a hash of the command, without the time of a document.
// It distinguishes a retry from another change with the same id.
func commandDigest(c Command) uint64 {
	if d := c.ApplyDocument; d != nil {
		withoutTime := *d
		withoutTime.AtMs = 0
		c.ApplyDocument = &withoutTime
	}
	data, err := EncodeCommand(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
