package routes

import (
	"reflect"
	"slices"
)

// Patch is the difference between two documents. The order of routes and
// services has no meaning and is not kept.
type Patch struct {
	// BaseVersion and Version are the versions before and after.
	BaseVersion uint64 `json:"from"`
	Version     uint64 `json:"version"`
	Limits      Limits `json:"limits"`
	// Routes and Services are new or changed.
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
	// Names of what is gone.
	RemovedRoutes   []string `json:"removedRoutes,omitempty"`
	RemovedServices []string `json:"removedServices,omitempty"`
}

// Diff returns the patch from one valid document to another.
func Diff(from, to *Document) *Patch {
	p := &Patch{BaseVersion: from.Version, Version: to.Version, Limits: to.Limits}
	p.Routes, p.RemovedRoutes = diff(from.Routes, to.Routes, func(r Route) string { return r.Name })
	p.Services, p.RemovedServices = diff(from.Services, to.Services, func(s Service) string { return s.Name })
	return p
}

// Apply returns the document after the patch; false if it starts from another
// version.
func (p *Patch) Apply(d *Document) (*Document, bool) {
	if d == nil || d.Version != p.BaseVersion {
		return nil, false
	}
	return &Document{
		Version: p.Version, Limits: p.Limits,
		Routes:   apply(d.Routes, p.Routes, p.RemovedRoutes, func(r Route) string { return r.Name }),
		Services: apply(d.Services, p.Services, p.RemovedServices, func(s Service) string { return s.Name }),
	}, true
}

func diff[T any](from, to []T, name func(T) string) (changed []T, removed []string) {
	old := make(map[string]T, len(from))
	for _, item := range from {
		old[name(item)] = item
	}
	for _, item := range to {
		if was, ok := old[name(item)]; !ok || !reflect.DeepEqual(was, item) {
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

func apply[T any](items, changed []T, removed []string, name func(T) string) []T {
	replace := make(map[string]bool, len(changed)+len(removed))
	for _, item := range changed {
		replace[name(item)] = true
	}
	for _, n := range removed {
		replace[n] = true
	}
	out := make([]T, 0, len(items)+len(changed))
	for _, item := range items {
		if !replace[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, changed...)
}
