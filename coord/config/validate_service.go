package config

import (
	"fmt"
	"slices"
	"strings"
)

func (v *validator) service(path string, s *Service) {
	if len(s.DataCentres) == 0 {
		v.addError(path+".dataCentres", "is empty: a service runs in at least one data centre")
	}
	v.checkDataCentreList(path+".dataCentres", s.DataCentres, nil)
	v.rules(path, s)
	v.shards(path, s)
	v.limits(path+".limits", s)
	v.ramp(path+".ramp", s)
	v.records(path, s)
}

// checkDataCentreList checks the names of a list. If allowed is not nil, every
// name must be in it.
func (v *validator) checkDataCentreList(path string, list, allowed []string) {
	first := map[string]int{}
	drained := 0
	for i, name := range list {
		entry := fmt.Sprintf("%s[%d]", path, i)
		if j, duplicate := first[name]; duplicate {
			v.addError(entry, "data centre %q is already listed at %s[%d]", name, path, j)
			continue
		}
		first[name] = i
		dc := v.document.DataCentre(name)
		switch {
		case dc == nil:
			v.addError(entry, "data centre %q is not defined", name)
		case allowed != nil && !slices.Contains(allowed, name):
			v.addError(entry, "data centre %q is not among the service's data centres", name)
		case dc.Drained:
			drained++
			if allowed != nil {
				v.addWarning(entry, "data centre %q is drained and receives no keys", name)
			}
		}
	}
	if drained > 0 && drained == len(list) {
		v.addWarning(path, "every data centre is drained: nothing is left to serve these requests")
	}
}

func (v *validator) rules(path string, s *Service) {
	if len(s.Rules) == 0 {
		return
	}
	if !s.Keyed {
		v.addError(path+".rules", "need a service that is divided by key; set keyed or remove the rules")
	}
	names := make([]string, 0, len(s.Rules))
	prefixes := map[string]int{}
	for i, r := range s.Rules {
		names = append(names, r.Name)
		rule := fmt.Sprintf("%s.rules[%d]", path, i)
		if j, duplicate := prefixes[r.Prefix]; duplicate {
			v.addError(rule+".prefix", "%q overlaps with rules[%d], which has the same prefix", r.Prefix, j)
		} else {
			prefixes[r.Prefix] = i
		}
		v.checkDataCentreList(rule+".dataCentres", r.DataCentres, s.DataCentres)
	}
	v.checkNames(path+".rules", "rule", names)
	if _, covered := prefixes[""]; !covered {
		v.addError(path+".rules", "leave keys uncovered: add a rule with the empty prefix for all keys that do not start with %s", quotePrefixes(s.Rules))
	}
}

func quotePrefixes(rules []KeyRule) string {
	out := make([]string, 0, len(rules))
	for _, r := range rules {
		out = append(out, fmt.Sprintf("%q", r.Prefix))
	}
	return strings.Join(out, ", ")
}

func (v *validator) shards(path string, s *Service) {
	v.checkBounds(path+".shards", int64(s.ShardCount), 1, MaxShards)
	if s.ShardCount != 0 && !s.Sharded() {
		v.addWarning(path+".shards", "has no effect: the service is neither keyed nor for payments")
	}
	for i, r := range s.Rules {
		v.checkBounds(fmt.Sprintf("%s.rules[%d].shards", path, i), int64(r.ShardCount), 1, MaxShards)
	}
	total := 0
	for _, space := range s.Keyspaces() {
		total += int(space.Shards)
	}
	if s.Sharded() && s.Limits.MinTargets > total {
		v.addWarning(path+".shards", "gives %d shards for at least %d targets, so that some targets own no keys", total, s.Limits.MinTargets)
	}
}
