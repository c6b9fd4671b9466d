package idempotency

import "time"

// RecordState is the state of the request that a record describes.
type RecordState uint8

const (
	// Started means that the target may have received the request.
	Started RecordState = iota + 1
	// Finished means that the target responded; Response is set.
	Finished
	// NotDispatched means that the target has not received the request. A later
	// request with the same key and digest is started again.
	NotDispatched
)

// String returns the name of the state; that of NotDispatched is "refused".
func (s RecordState) String() string {
	switch s {
	case Started:
		return "started"
	case Finished:
		return "finished"
	case NotDispatched:
		return "refused"
	default:
		return "invalid"
	}
}

// Record is the idempotency record of one key of a unit. Records are immutable
// once they have been passed to an Owner or a CopyStore.
type Record struct {
	Key string `json:"key" cbor:"1,keyasint"`
	// Digest is the Digest of the request that was started. A request with the
	// same key and another digest is refused.
	Digest [32]byte    `json:"digest" cbor:"2,keyasint"`
	State  RecordState `json:"state" cbor:"3,keyasint"`
	// CreatedAtMs is the wall-clock time of the latest start, in Unix ms.
	CreatedAtMs int64 `json:"createdAtMs" cbor:"4,keyasint"`
	// Response is set in the state Finished.
	Response *Response `json:"answer,omitempty" cbor:"5,keyasint,omitempty"`
	// Epoch and Version order the records of one key. Messages may arrive late,
	// and a key in the state NotDispatched may be started again, so State alone
	// does not determine which record is newer.
	Epoch   uint64 `json:"epoch" cbor:"6,keyasint"`
	Version uint64 `json:"version" cbor:"7,keyasint"`
}

// valid reports whether a correct owner can have written r. A finished record
// needs a final response, because callers receive it.
func (r *Record) valid() bool {
	switch {
	case r.Key == "" || r.State < Started || r.State > NotDispatched:
		return false
	case r.State == Finished:
		return r.Response != nil && r.Response.Status >= 200 && r.Response.Status <= 999
	default:
		return r.Response == nil
	}
}

func validRecords(records []Record) bool {
	for i := range records {
		if !records[i].valid() {
			return false
		}
	}
	return true
}

// newer reports whether r is newer than old, a record of the same key.
func (r *Record) newer(old *Record) bool {
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.Version > old.Version
}

// next returns the record that follows r, written at epoch.
func (r *Record) next(state RecordState, epoch uint64) *Record {
	n := *r
	n.State, n.Epoch, n.Version = state, epoch, r.Version+1
	return &n
}

// recordOverhead is the memory of a record without its key and response, in
// bytes: the struct, the map slot and the entry in the expiry queue.
const recordOverhead = 240

// size estimates the memory of r in bytes.
func (r *Record) size() int64 {
	return recordOverhead + int64(len(r.Key)) + r.Response.size()
}

func (r *Record) age(nowMs int64) time.Duration {
	return time.Duration(nowMs-r.CreatedAtMs) * time.Millisecond
}
