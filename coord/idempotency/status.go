package idempotency

import "bramleyquay.example/coord/shard"

// UnitStatus is the state of one unit in an Owner.
type UnitStatus struct {
	Unit  shard.Unit `json:"unit"`
	Epoch uint64     `json:"epoch"`
	// Recovering means that the records are being fetched from a copy.
	Recovering bool  `json:"recovering,omitempty"`
	Records    int   `json:"records"`
	Bytes      int64 `json:"bytes"`
	// Running is the number of executions in progress, at most one for each key.
	Running int `json:"running"`
	// InSync and Syncing are the numbers of copies that are in sync and that are
	// not.
	InSync  int `json:"inSync"`
	Syncing int `json:"joining"`
	// LostAtMs is when all records of the unit were lost, in Unix ms, or zero.
	LostAtMs int64 `json:"lostAtMs,omitempty"`
}

// OwnerStatus is the state of an Owner.
type OwnerStatus struct {
	Units []UnitStatus `json:"units"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"calls"`
	// Unacknowledged is the number of writes that await their replies.
	Unacknowledged int `json:"unacknowledged"`
}

// Status returns the state of the Owner, with the units sorted by keyspace, shard
// and key hash.
func (o *Owner) Status() OwnerStatus {
	s := OwnerStatus{InFlight: len(o.calls), Unacknowledged: len(o.pending.bySeq)}
	for _, u := range o.order {
		us := UnitStatus{Unit: u.unit, Epoch: u.epoch, Recovering: u.store == nil, Running: len(u.executionOrder)}
		if u.store != nil {
			us.Records, us.Bytes, us.LostAtMs = len(u.store.records), u.store.bytes, u.store.lostAtMs
		}
		for _, p := range u.copies {
			if p.inSync() {
				us.InSync++
			} else {
				us.Syncing++
			}
		}
		s.Units = append(s.Units, us)
	}
	return s
}

// CopyStatus is the state of a CopyStore, summed over all units.
type CopyStatus struct {
	// Complete is the number of units with all records, Syncing the number of
	// units with a transfer in progress. A unit can count in both.
	Complete int   `json:"complete"`
	Syncing  int   `json:"filling"`
	Records  int   `json:"records"`
	Bytes    int64 `json:"bytes"`
}

// Status returns the totals over all units.
func (c *CopyStore) Status() CopyStatus {
	s := CopyStatus{Bytes: c.bytes}
	for _, u := range c.units {
		if u.store != nil {
			s.Complete++
			s.Records += len(u.store.records)
		}
		if u.incoming != nil {
			s.Syncing++
			s.Records += len(u.incoming.records)
		}
	}
	return s
}
