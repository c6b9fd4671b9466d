package routes

import (
	"fmt"
	"strings"
)

// Finding is one reason why a document is invalid.
type Finding struct {
	// Place is the invalid item, for instance route "a".
	Place string `json:"place"`
	// Text is the reason, for operators.
	Text string `json:"text"`
}

// String implements fmt.Stringer.
func (f Finding) String() string { return f.Place + ": " + f.Text }

// Validate returns all reasons why the document is invalid, none if it is valid. It must be
// called before the document is proposed to the control group.
func (d *Document) Validate() []Finding {
	v := newValidation()
	v.logged(d)
	v.texts(d)
	return v.findings
}

// ValidateLogged is Validate with the rules that replicas apply to a document in the
// replicated log. These rules must not change: replicas of two builds that disagree about an
// entry of the log have different states from then on.
func (d *Document) ValidateLogged() []Finding {
	v := newValidation()
	v.logged(d)
	return v.findings
}

type validation struct {
	services map[string]bool
	prefixes map[[2]string]bool // by host and prefix
	names    map[string]bool
	findings []Finding
}

func newValidation() *validation {
	return &validation{services: map[string]bool{}, prefixes: map[[2]string]bool{}, names: map[string]bool{}}
}

func (v *validation) logged(d *Document) {
	if d.Version == 0 {
		v.add("document", "the version is 0")
	}
	for i := range d.Services {
		v.service(i, &d.Services[i])
	}
	for i := range d.Routes {
		v.route(i, &d.Routes[i])
	}
	v.accounts(d.Accounts)
}

func (v *validation) add(place, format string, args ...any) {
	v.findings = append(v.findings, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

func (v *validation) service(index int, s *Service) {
	place := placeOf("service", index, s.Name)
	switch {
	case s.Name == "":
		v.add(place, "the name is empty")
	case v.services[s.Name]:
		v.add(place, "the name occurs twice")
	}
	if s.ColdRate < 0 || s.ColdPeriod < 0 || s.Warmup < 0 || s.MaxConnections < 0 {
		v.add(place, "coldRate, coldPeriod, warmup or maxConnections is negative")
	}
	v.services[s.Name] = true
}

func (v *validation) route(index int, r *Route) {
	place := placeOf("route", index, r.Name)
	if r.Name == "" || v.names[r.Name] {
		v.add(place, "the name is empty or occurs twice")
	}
	v.names[r.Name] = true
	hostPrefix := [2]string{strings.ToLower(r.Host), r.Prefix}
	if v.prefixes[hostPrefix] {
		v.add(place, "another route has host %q and prefix %q", r.Host, r.Prefix)
	}
	v.prefixes[hostPrefix] = true
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add(place, "host %q is empty or prefix %q does not start and end with a slash", r.Host, r.Prefix)
	}
	if !r.Kind.IsKnown() {
		v.add(place, "kind %q is unknown", r.Kind)
	}
	if r.Timeout < 0 || r.Timeout > MaxTimeout {
		v.add(place, "timeout %s is outside 0 to %s", r.Timeout, MaxTimeout)
	}
	if r.Timeout > 0 && r.LatencyObjective-r.Timeout >= MaxObjectiveExcess {
		v.add(place, "objective %s is too far above the timeout %s", r.LatencyObjective, r.Timeout)
	}
	if r.LatencyObjective < 0 || r.Attempts < 0 || r.Priority < 0 {
		v.add(place, "objective, attempts or rank is negative")
	}
	v.destinations(place, r.Destinations)
}

func (v *validation) destinations(place string, destinations []WeightedService) {
	sum := 0
	for _, d := range destinations {
		if !v.services[d.Service] {
			v.add(place, "service %q is unknown", d.Service)
		}
		if d.Weight < 0 {
			v.add(place, "weight %d of service %q is negative", d.Weight, d.Service)
		}
		sum += d.Weight
	}
	if sum <= 0 {
		v.add(place, "the sum of the weights is %d, which is not positive", sum)
	}
}
