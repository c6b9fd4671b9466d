package routes

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request in a document.
type Table struct {
	doc      *Document
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	accounts accountIndex
	// pickers are the weighted round-robins of routes with several destinations.
	pickers map[*Route]*weightedRoundRobin
}

// NewTable indexes a valid document, which must not change afterwards.
func NewTable(d *Document) *Table {
	t := &Table{doc: d, hosts: map[string][]*Route{}, services: map[string]*Service{}, pickers: map[*Route]*weightedRoundRobin{}, accounts: newAccountIndex(d.Accounts)}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		if len(r.Destinations) > 1 {
			t.pickers[r] = newWeightedRoundRobin(r.Destinations)
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Document returns the indexed document.
func (t *Table) Document() *Document { return t.doc }

// Service returns the service of a name, or nil if the document does not have it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of host with the longest prefix of path, or nil if there
// is none. Case is ignored in host. Its port is ignored unless a route has this host
// with the port.
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

// PickService returns the service for the next request of a route, by the weights of
// its destinations. It is not safe for concurrent use.
func (t *Table) PickService(r *Route) string {
	if w := t.pickers[r]; w != nil {
		return w.next()
	}
	return r.Destinations[0].Service
}

// weightedRoundRobin divides the requests of a route by weight (smooth weighted
// round-robin): with each request the credit of every service rises by its weight,
// and the one with the most credit gets the request and loses the total weight. Even
// over a few requests the division stays close to the weights; with a random choice
// it would deviate more.
type weightedRoundRobin struct {
	services    []WeightedService
	credit      []int
	totalWeight int
}

func newWeightedRoundRobin(services []WeightedService) *weightedRoundRobin {
	w := &weightedRoundRobin{services: services, credit: make([]int, len(services))}
	for _, s := range services {
		w.totalWeight += s.Weight
	}
	return w
}

// next returns the service of the next request.
func (w *weightedRoundRobin) next() string {
	best := 0
	for i, s := range w.services {
		w.credit[i] += s.Weight
		if w.credit[i] > w.credit[best] {
			best = i
		}
	}
	w.credit[best] -= w.totalWeight
	return w.services[best].Service
}
