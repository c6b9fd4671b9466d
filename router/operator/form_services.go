package operator

import (
	"fmt"
	"net/url"

	"bramleyquay.example/coord/config"
)

// documentForm is a form that edits one part of the document.
type documentForm struct {
	path, title, help string
	// bind lists the inputs for a document. If values is not nil, it first
	// changes the document to what was submitted.
	bind func(b *binder, d *config.Document) []*group
}

// Path returns the form's place below /console/.
func (f documentForm) Path() string { return f.path }

// Help returns what the form is for.
func (f documentForm) Help() string { return f.help }

// Title returns the form's heading.
func (f documentForm) Title() string { return f.title }

var documentForms = []documentForm{
	{"services", "Services", "What runs, where, and within which limits. An empty number stands for its default.", bindServices},
	{"data-centres", "Data centres", "Where instances stand. A drained data centre receives no new work.", bindDataCentres},
	{"rules", "Rules", "Which keys belong where. The longest matching prefix decides; every key needs a rule, so that one rule has the empty prefix.", bindRules},
	{"switches", "Switches", "Automatic actions. An action that is off is listed as pending instead, and you can approve it.", bindSwitches},
}

func placeNames(d *config.Document) []string {
	names := make([]string, 0, len(d.DataCentres))
	for _, dc := range d.DataCentres {
		names = append(names, dc.Name)
	}
	return names
}

func bindServices(b *binder, d *config.Document) []*group {
	var groups []*group
	entry := func(in string, index int, s *config.Service, was string) {
		title := was
		if was == "" {
			title = "New service"
		}
		groups = append(groups, b.begin(in, group{Title: title, Path: fmt.Sprintf("services[%d]", index), Was: was, Listed: true}))
		bindService(b, s, placeNames(d))
	}
	if b.values == nil {
		for i := range d.Services {
			entry("", i, &d.Services[i], d.Services[i].Name)
		}
	} else {
		var kept []config.Service
		for _, row := range b.rows("services") {
			var s config.Service
			was := b.values.Get(row + ".was")
			if old := d.Service(was); old != nil {
				s = *old
			}
			if was == "" && isBlank(b.values, row) {
				continue
			}
			entry(row, len(kept), &s, was)
			kept = append(kept, s)
		}
		d.Services = kept
	}
	return withBlank(b, func() { entry("", len(d.Services), &config.Service{}, "") }, &groups)
}

// isBlank reports whether the row for a new entry was left empty.
func isBlank(values url.Values, row string) bool {
	return values.Get(row+".name") == "" && values.Get(row+".prefix") == "" && len(values[row+".dataCentres"]) == 0
}

// withBlank adds inputs for one more entry.
func withBlank(b *binder, add func(), groups *[]*group) []*group {
	submitted := b.values
	b.values = nil
	add()
	b.values = submitted
	return *groups
}

func bindService(b *binder, s *config.Service, places []string) {
	b.name("name", "Name", "First part of the path that callers use.", &s.Name)
	b.check("keyed", "Divided by key", "Each key has one owner.", &s.Keyed)
	b.check("payments", "Payments", "Requests that are not idempotent need an idempotency key and run at most once.", &s.Payments)
	b.check("internal", "Internal", "Not reachable from other hosts.", &s.Internal)
	b.places("dataCentres", "Data centres", "", places, &s.DataCentres)
	number(b, "shards", "Shards", fmt.Sprintf("Per rule; %d if empty.", config.DefaultShards), &s.ShardCount)
	l := &s.Limits
	number(b, "limits.timeoutMs", "Default timeout, ms", fmt.Sprintf("%d if empty.", config.DefaultTimeoutMs), &l.TimeoutMs)
	number(b, "limits.maxTimeoutMs", "Longest timeout, ms", fmt.Sprintf("%d if empty.", config.DefaultMaxTimeoutMs), &l.MaxTimeoutMs)
	number(b, "limits.queue", "Queue length", fmt.Sprintf("%d if empty.", config.DefaultQueue), &l.QueueLength)
	number(b, "limits.slotsPerTarget", "Slots per target", "No cap below the announced slots if empty.", &l.SlotsPerTarget)
	number(b, "limits.minTargets", "Fewest targets", "Targets that you promise to run.", &l.MinTargets)
	number(b, "limits.connectionsPerTarget", "Connections per target", fmt.Sprintf("%d if empty.", config.DefaultConnectionsPerTarget), &l.ConnectionsPerTarget)
	number(b, "ramp.startSlots", "Slots after a cold start", fmt.Sprintf("%d if empty.", config.DefaultRampStartSlots), &s.Ramp.StartSlots)
	number(b, "ramp.durationMs", "Ramp, ms", fmt.Sprintf("%d if empty.", config.DefaultRampMs), &s.Ramp.DurationMs)
	number(b, "recordCopies", "Copies of payment records", fmt.Sprintf("%d if empty.", config.DefaultRecordCopies), &s.RecordCopies)
	number(b, "recordLifetimeMs", "Lifetime of payment records, ms", "A day if empty.", &s.RecordLifetimeMs)
}
