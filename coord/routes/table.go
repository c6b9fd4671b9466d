package routes

import (
	"net"
	"sort"
	"strings"
)

// Table answers which route a request takes.
type Table struct {
	doc      *Document
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	spread   map[*Route]*spread
}

// NewTable indexes a valid document, which must not change afterwards.
func NewTable(d *Document) *Table {
	t := &Table{doc: d, hosts: map[string][]*Route{}, services: map[string]*Service{}, spread: map[*Route]*spread{}}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		if len(r.Destinations) > 1 {
			t.spread[r] = newSpread(r.Destinations)
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Document returns the indexed document.
func (t *Table) Document() *Document { return t.doc }

// Service returns a service, or nil if the document does not name it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest prefix of path, or nil.
// A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	list, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			list = t.hosts[strings.ToLower(name)]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns the service that takes the next request of a route. It is not
// safe for concurrent use.
func (t *Table) PickService(r *Route) string {
	if s := t.spread[r]; s != nil {
		return s.next()
	}
	return r.Destinations[0].Service
}

// spread divides the requests of a route by weight with the least deviation:
// each part gains its weight per request and the one with most gives up the sum.
type spread struct {
	parts []WeightedService
	owed  []int
	sum   int
}

func newSpread(parts []WeightedService) *spread {
	s := &spread{parts: parts, owed: make([]int, len(parts))}
	for _, p := range parts {
		s.sum += p.Weight
	}
	return s
}

func (s *spread) next() string {
	best := 0
	for i, p := range s.parts {
		s.owed[i] += p.Weight
		if s.owed[i] > s.owed[best] {
			best = i
		}
	}
	s.owed[best] -= s.sum
	return s.parts[best].Service
}
