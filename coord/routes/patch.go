package routes

import (
	"reflect"
	"slices"
)

// Patch is the difference between two documents. It does not preserve the order of
// routes, services and accounts, which has no meaning.
type Patch struct {
	// BaseVersion is the version that the patch applies to, Version the one after it.
	BaseVersion uint64 `json:"from"`
	Version     uint64 `json:"version"`
	Limits      Limits `json:"limits"`
	// Routes and Services are those that are new or changed.
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
	// RemovedRoutes and RemovedServices are names.
	RemovedRoutes   []string `json:"removedRoutes,omitempty"`
	RemovedServices []string `json:"removedServices,omitempty"`
	// Accounts are those that are new or changed, RemovedAccounts are names.
	Accounts        []Account `json:"accounts,omitempty"`
	RemovedAccounts []string  `json:"removedAccounts,omitempty"`
}

// Diff returns the patch from one valid document to another.
func Diff(from, to *Document) *Patch {
	p := &Patch{BaseVersion: from.Version, Version: to.Version, Limits: to.Limits}
	p.Routes, p.RemovedRoutes = diff(from.Routes, to.Routes, func(r Route) string { return r.Name })
	p.Services, p.RemovedServices = diff(from.Services, to.Services, func(s Service) string { return s.Name })
	p.Accounts, p.RemovedAccounts = diff(from.Accounts, to.Accounts, func(a Account) string { return a.Name })
	return p
}

// Apply returns the document after the patch and does not change d. It returns
// false if the patch applies to another version.
func (p *Patch) Apply(d *Document) (*Document, bool) {
	if d == nil || d.Version != p.BaseVersion {
		return nil, false
	}
	out := &Document{
		Version: p.Version, Limits: p.Limits,
		Routes:   apply(d.Routes, p.Routes, p.RemovedRoutes, func(r Route) string { return r.Name }),
		Services: apply(d.Services, p.Services, p.RemovedServices, func(s Service) string { return s.Name }),
	}
	if accounts := apply(d.Accounts, p.Accounts, p.RemovedAccounts, func(a Account) string { return a.Name }); len(accounts) > 0 {
		out.Accounts = accounts
	}
	return out, true
}

// diff returns the items of to that are new or changed, and the sorted names of
// those items of from that are not in to.
func diff[T any](from, to []T, name func(T) string) (changed []T, removed []string) {
	old := make(map[string]T, len(from))
	for _, item := range from {
		old[name(item)] = item
	}
	for _, item := range to {
		if previous, ok := old[name(item)]; !ok || !reflect.DeepEqual(previous, item) {
			changed = append(changed, item)
		}
		delete(old, name(item))
	}
	for n := range old {
		removed = append(removed, n)
	}
	slices.Sort(removed)
	return changed, removed
}

// apply returns the items after changed ones are added or replaced and removed ones
// are left out.
func apply[T any](items, changed []T, removed []string, name func(T) string) []T {
	dropped := make(map[string]bool, len(changed)+len(removed))
	for _, item := range changed {
		dropped[name(item)] = true
	}
	for _, n := range removed {
		dropped[n] = true
	}
	out := make([]T, 0, len(items)+len(changed))
	for _, item := range items {
		if !dropped[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, changed...)
}
