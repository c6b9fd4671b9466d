package operator

import (
	"fmt"

	"bramleyquay.example/coord/config"
)

// bindDataCentres binds the data centres. A new name of one also replaces the old
// name in services and rules.
func bindDataCentres(b *binder, d *config.Document) []*group {
	var groups []*group
	addEntry := func(inputPath string, index int, dc *config.DataCentre, oldName string) {
		title := oldName
		if oldName == "" {
			title = "New data centre"
		}
		groups = append(groups, b.beginGroup(inputPath, group{Title: title, Path: fmt.Sprintf("dataCentres[%d]", index), Was: oldName, Listed: true}))
		b.name("name", "Name", "As in the settings of its processes.", &dc.Name)
		b.name("region", "Region", "Groups data centres that are near each other.", &dc.Region)
		b.check("drained", "Drained", "Receives no new work.", &dc.Drained)
	}
	if b.values == nil {
		for i := range d.DataCentres {
			addEntry("", i, &d.DataCentres[i], d.DataCentres[i].Name)
		}
	} else {
		var entries []config.DataCentre
		renamed := map[string]string{}
		for _, inputPath := range b.entryPaths("dataCentres") {
			var dc config.DataCentre
			oldName := b.values.Get(inputPath + ".was")
			if oldName == "" && isBlank(b.values, inputPath) {
				continue
			}
			addEntry(inputPath, len(entries), &dc, oldName)
			entries = append(entries, dc)
			if oldName != "" {
				renamed[oldName] = dc.Name
			}
		}
		d.DataCentres = entries
		renameDataCentres(d, renamed)
	}
	return addBlankEntry(b, func() { addEntry("", len(d.DataCentres), &config.DataCentre{}, "") }, &groups)
}

// renameDataCentres updates the names of renamed data centres in services and
// rules.
func renameDataCentres(d *config.Document, renamed map[string]string) {
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

// bindRules binds the rules of every service that is divided by key or has rules.
func bindRules(b *binder, d *config.Document) []*group {
	var groups []*group
	for i := range d.Services {
		if s := &d.Services[i]; s.Keyed || len(s.Rules) > 0 {
			groups = append(groups, bindServiceRules(b, s, fmt.Sprintf("services[%d].rules", i))...)
		}
	}
	return groups
}

func bindServiceRules(b *binder, s *config.Service, list string) []*group {
	var groups []*group
	addEntry := func(inputPath string, index int, r *config.KeyRule, oldName string) {
		title := s.Name + ": " + oldName
		if oldName == "" {
			title = s.Name + ": new rule"
		}
		groups = append(groups, b.beginGroup(inputPath, group{Title: title, Path: fmt.Sprintf("%s[%d]", list, index), Was: oldName, Listed: true}))
		b.name("name", "Name", "", &r.Name)
		b.text("prefix", "Prefix", "Keys that start with this text.", &r.Prefix)
		b.dataCentres("dataCentres", "Data centres", "Those of the service if none is chosen.", s.DataCentres, &r.DataCentres)
		number(b, "shards", "Shards", "As in the service if empty.", &r.ShardCount)
	}
	if b.values == nil {
		for i := range s.Rules {
			addEntry("", i, &s.Rules[i], s.Rules[i].Name)
		}
	} else {
		var entries []config.KeyRule
		for _, inputPath := range b.entryPaths(list) {
			var r config.KeyRule
			oldName := b.values.Get(inputPath + ".was")
			if oldName == "" && isBlank(b.values, inputPath) {
				continue
			}
			addEntry(inputPath, len(entries), &r, oldName)
			entries = append(entries, r)
		}
		s.Rules = entries
	}
	return addBlankEntry(b, func() { addEntry("", len(s.Rules), &config.KeyRule{}, "") }, &groups)
}

// bindSwitches binds the switches of the automatic actions.
func bindSwitches(b *binder, d *config.Document) []*group {
	a := &d.Automation
	g := b.beginGroup("automation", group{Title: "Automatic actions", Path: "automation"})
	b.check("allOff", "Turn all off", "For example before a holiday weekend. The switches below keep their state.", &a.AllOff)
	b.check("rebalance", "Rebalance", "Moves units to even out the load.", &a.Rebalance)
	b.check("hotKeys", "Hot keys", "Splits frequently requested keys out of their shard.", &a.HotKeys)
	b.check("failover", "Failover", "Assigns the units of a lost member to new owners.", &a.Failover)
	b.check("replicaReplacement", "Replica replacement", "Replaces lost copies of idempotency records and lost control replicas.", &a.ReplicaReplacement)
	b.check("ejection", "Ejection", "Takes failing and slow targets out of load balancing.", &a.Ejection)
	b.check("repeats", "Repeats", "Retries and hedges idempotent requests.", &a.Retries)
	return []*group{g}
}
