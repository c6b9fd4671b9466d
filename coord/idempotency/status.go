package idempotency

import "bramleyquay.example/coord/shard"

// UnitStatus describes one unit at its owner.
type UnitStatus struct {
	Unit  shard.Unit `json:"unit"`
	Epoch uint64     `json:"epoch"`
	// Recovering means that the records are being read from a copy.
	Recovering bool  `json:"recovering,omitempty"`
	Records    int   `json:"records"`
	Bytes      int64 `json:"bytes"`
	// Running is the number of keys in progress.
	Running int `json:"running"`
	// InSync and Joining are numbers of copies.
	InSync  int `json:"inSync"`
	Joining int `json:"joining"`
	// LostAtMs is when earlier records were lost, in Unix ms, or zero.
	LostAtMs int64 `json:"lostAtMs,omitempty"`
}

// OwnerStatus describes an Owner.
type OwnerStatus struct {
	Units []UnitStatus `json:"units"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"calls"`
	// Unacknowledged is the number of writes without answer.
	Unacknowledged int `json:"unacknowledged"`
}

// Status returns the state of all units in a fixed order.
func (o *Owner) Status() OwnerStatus {
	s := OwnerStatus{InFlight: len(o.calls), Unacknowledged: len(o.pending.bySeq)}
	for _, u := range o.order {
		us := UnitStatus{Unit: u.unit, Epoch: u.epoch, Recovering: u.store == nil, Running: len(u.runOrder)}
		if u.store != nil {
			us.Records, us.Bytes, us.LostAtMs = len(u.store.records), u.store.bytes, u.store.lostAtMs
		}
		for _, p := range u.peers {
			if p.inSync() {
				us.InSync++
			} else {
				us.Joining++
			}
		}
		s.Units = append(s.Units, us)
	}
	return s
}

// CopyStatus describes a CopyStore.
type CopyStatus struct {
	// Complete is the number of units with all records, Filling the number of
	// units that are being filled.
	Complete int   `json:"complete"`
	Filling  int   `json:"filling"`
	Records  int   `json:"records"`
	Bytes    int64 `json:"bytes"`
}

// Status returns totals over all units.
func (c *CopyStore) Status() CopyStatus {
	s := CopyStatus{Bytes: c.bytes}
	for _, u := range c.units {
		if u.store != nil {
			s.Complete++
			s.Records += len(u.store.records)
		}
		if u.filling != nil {
			s.Filling++
			s.Records += len(u.filling.records)
		}
	}
	return s
}
