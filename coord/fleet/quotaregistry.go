package fleet

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/quota"
)

// RegisterQuota records which processes may hold allotments of limits, so that a new
// leader knows of which ones it has not heard.
type RegisterQuota struct {
	// Add registers incarnations of processes. One that is registered keeps its
	// registration; an earlier one of the same process is replaced.
	Add []quota.Process `cbor:"1,keyasint,omitempty"`
	// Remove removes registrations. One that was replaced or made anew since remains.
	Remove []quota.Registration `cbor:"2,keyasint,omitempty"`
}

// quotaRegistry is the part of the state that RegisterQuota changes.
type quotaRegistry struct {
	Registered []quota.Registration `cbor:"1,keyasint,omitempty"` // sorted by address
	// Revision is the log index of the last command.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

func (st *State) registerQuota(index uint64, c *RegisterQuota) Result {
	list := slices.DeleteFunc(slices.Clone(st.stored.Quota.Registered), func(r quota.Registration) bool {
		return slices.Contains(c.Remove, r)
	})
	for _, p := range c.Add {
		i, found := slices.BinarySearchFunc(list, p.Address, func(r quota.Registration, address string) int {
			return cmp.Compare(r.Address, address)
		})
		registration := quota.Registration{Process: p, Index: index}
		switch {
		case !found:
			list = slices.Insert(list, i, registration)
		case list[i].Incarnation != p.Incarnation:
			list[i] = registration
		}
	}
	st.stored.Quota = quotaRegistry{Registered: list, Revision: index}
	return st.result(Accepted)
}

// QuotaRegistered returns the processes that may hold allotments, sorted by address.
func (st *State) QuotaRegistered() []quota.Registration { return st.stored.Quota.Registered }
