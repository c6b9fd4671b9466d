package operator

import (
	"fmt"

	"bramleyquay.example/coord/config"
)

func bindDataCentres(b *binder, d *config.Document) []*group {
	var groups []*group
	entry := func(in string, index int, dc *config.DataCentre, was string) {
		title := was
		if was == "" {
			title = "New data centre"
		}
		groups = append(groups, b.begin(in, group{Title: title, Path: fmt.Sprintf("dataCentres[%d]", index), Was: was, Listed: true}))
		b.name("name", "Name", "As in the settings of the processes that stand there.", &dc.Name)
		b.name("region", "Region", "Groups data centres that are near each other.", &dc.Region)
		b.check("drained", "Drained", "Receives no new work.", &dc.Drained)
	}
	if b.values == nil {
		for i := range d.DataCentres {
			entry("", i, &d.DataCentres[i], d.DataCentres[i].Name)
		}
	} else {
		var kept []config.DataCentre
		renamed := map[string]string{}
		for _, row := range b.rows("dataCentres") {
			var dc config.DataCentre
			was := b.values.Get(row + ".was")
			if was == "" && isBlank(b.values, row) {
				continue
			}
			entry(row, len(kept), &dc, was)
			kept = append(kept, dc)
			if was != "" {
				renamed[was] = dc.Name
			}
		}
		d.DataCentres = kept
		renamePlaces(d, renamed)
	}
	return withBlank(b, func() { entry("", len(d.DataCentres), &config.DataCentre{}, "") }, &groups)
}

// renamePlaces lets services and rules follow the new names of data centres.
func renamePlaces(d *config.Document, renamed map[string]string) {
	rename := func(list []string) []string {
		out := make([]string, 0, len(list))
		for _, name := range list {
			if to, ok := renamed[name]; ok {
				name = to
			}
			out = append(out, name)
		}
		return out
	}
	for i := range d.Services {
		s := &d.Services[i]
		s.DataCentres = rename(s.DataCentres)
		for j := range s.Rules {
			s.Rules[j].DataCentres = rename(s.Rules[j].DataCentres)
		}
	}
}

func bindRules(b *binder, d *config.Document) []*group {
	var groups []*group
	for i := range d.Services {
		if s := &d.Services[i]; s.Keyed || len(s.Rules) > 0 {
			groups = append(groups, bindRulesOf(b, s, fmt.Sprintf("services[%d].rules", i))...)
		}
	}
	return groups
}

func bindRulesOf(b *binder, s *config.Service, list string) []*group {
	var groups []*group
	entry := func(in string, index int, r *config.KeyRule, was string) {
		title := s.Name + ": " + was
		if was == "" {
			title = s.Name + ": new rule"
		}
		groups = append(groups, b.begin(in, group{Title: title, Path: fmt.Sprintf("%s[%d]", list, index), Was: was, Listed: true}))
		b.name("name", "Name", "", &r.Name)
		b.text("prefix", "Prefix", "Keys that start with this text.", &r.Prefix)
		b.places("dataCentres", "Data centres", "Those of the service if none is chosen.", s.DataCentres, &r.DataCentres)
		number(b, "shards", "Shards", "As in the service if empty.", &r.ShardCount)
	}
	if b.values == nil {
		for i := range s.Rules {
			entry("", i, &s.Rules[i], s.Rules[i].Name)
		}
	} else {
		var kept []config.KeyRule
		for _, row := range b.rows(list) {
			var r config.KeyRule
			was := b.values.Get(row + ".was")
			if was == "" && isBlank(b.values, row) {
				continue
			}
			entry(row, len(kept), &r, was)
			kept = append(kept, r)
		}
		s.Rules = kept
	}
	return withBlank(b, func() { entry("", len(s.Rules), &config.KeyRule{}, "") }, &groups)
}

func bindSwitches(b *binder, d *config.Document) []*group {
	a := &d.Automation
	g := b.begin("automation", group{Title: "Automatic actions", Path: "automation"})
	b.check("allOff", "Turn all off", "For example before a holiday weekend. The single switches keep their state.", &a.AllOff)
	b.check("rebalance", "Rebalance", "Moves units to even out the load.", &a.Rebalance)
	b.check("hotKeys", "Hot keys", "Splits frequently requested keys out of their shard.", &a.HotKeys)
	b.check("failover", "Failover", "Gives the units of a lost member new owners.", &a.Failover)
	b.check("replicaReplacement", "Replica replacement", "Replaces lost copies of payment records and control replicas.", &a.ReplicaReplacement)
	b.check("ejection", "Ejection", "Takes targets that answer badly out of selection.", &a.Ejection)
	b.check("repeats", "Repeats", "Retries and hedges idempotent requests.", &a.Retries)
	return []*group{g}
}
