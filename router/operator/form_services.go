package operator

import (
	"fmt"
	"net/url"

	"bramleyquay.example/coord/config"
)

// documentForm is a form that edits one part of the document.
type documentForm struct {
	path, title, help string
	// bind returns the groups of inputs for a document. If b.values is not nil, it
	// first applies the submitted values to the document.
	bind func(b *binder, d *config.Document) []*group
}

// Path returns the form's path below /console/.
func (f documentForm) Path() string { return f.path }

// Help returns a short description of the form.
func (f documentForm) Help() string { return f.help }

// Title returns the form's heading.
func (f documentForm) Title() string { return f.title }

var documentForms = []documentForm{
	{"services", "Services", "The services, their data centres and their limits. An empty number means the default.", bindServices},
	{"data-centres", "Data centres", "The locations of instances. A drained data centre receives no new work.", bindDataCentres},
	{"rules", "Rules", "The data centres of keys by prefix. The longest matching prefix decides. Every key needs a rule, so one rule must have the empty prefix.", bindRules},
	{"switches", "Switches", "Automatic actions. An action that is off is listed as pending instead, and you can approve it.", bindSwitches},
}

func dataCentreNames(d *config.Document) []string {
	names := make([]string, 0, len(d.DataCentres))
	for _, dc := range d.DataCentres {
		names = append(names, dc.Name)
	}
	return names
}

// bindServices binds the services. The values of a service that the form does not
// show, such as its rules, stay.
func bindServices(b *binder, d *config.Document) []*group {
	var groups []*group
	addEntry := func(inputPath string, index int, s *config.Service, oldName string) {
		title := oldName
		if oldName == "" {
			title = "New service"
		}
		groups = append(groups, b.beginGroup(inputPath, group{Title: title, Path: fmt.Sprintf("services[%d]", index), Was: oldName, Listed: true}))
		bindService(b, s, dataCentreNames(d))
	}
	if b.values == nil {
		for i := range d.Services {
			addEntry("", i, &d.Services[i], d.Services[i].Name)
		}
	} else {
		var entries []config.Service
		for _, inputPath := range b.entryPaths("services") {
			var s config.Service
			oldName := b.values.Get(inputPath + ".was")
			if old := d.Service(oldName); old != nil {
				s = *old
			}
			if oldName == "" && isBlank(b.values, inputPath) {
				continue
			}
			addEntry(inputPath, len(entries), &s, oldName)
			entries = append(entries, s)
		}
		d.Services = entries
	}
	return addBlankEntry(b, func() { addEntry("", len(d.Services), &config.Service{}, "") }, &groups)
}

// isBlank reports whether the name, the prefix and the data centres of a new entry
// were left empty. Such an entry is ignored, whatever its other inputs are.
func isBlank(values url.Values, inputPath string) bool {
	return values.Get(inputPath+".name") == "" && values.Get(inputPath+".prefix") == "" && len(values[inputPath+".dataCentres"]) == 0
}

// addBlankEntry adds empty inputs for a new entry and returns all groups. The binder
// has no submitted values meanwhile, so that the inputs are empty. groups is a
// pointer because add appends to it.
func addBlankEntry(b *binder, add func(), groups *[]*group) []*group {
	submitted := b.values
	b.values = nil
	add()
	b.values = submitted
	return *groups
}

func bindService(b *binder, s *config.Service, dataCentres []string) {
	b.name("name", "Name", "First part of the path that callers use.", &s.Name)
	b.check("keyed", "Divided by key", "Each key has one owner.", &s.Keyed)
	b.check("payments", "Payments", "Requests that are not idempotent need an idempotency key and run at most once.", &s.Payments)
	b.check("internal", "Internal", "Not reachable from other hosts.", &s.Internal)
	b.dataCentres("dataCentres", "Data centres", "", dataCentres, &s.DataCentres)
	number(b, "shards", "Shards", fmt.Sprintf("Per rule; %d if empty.", config.DefaultShardCount), &s.ShardCount)
	l := &s.Limits
	number(b, "limits.timeoutMs", "Default timeout, ms", fmt.Sprintf("%d if empty.", config.DefaultTimeoutMs), &l.TimeoutMs)
	number(b, "limits.maxTimeoutMs", "Longest timeout, ms", fmt.Sprintf("%d if empty.", config.DefaultMaxTimeoutMs), &l.MaxTimeoutMs)
	number(b, "limits.queue", "Queue length", fmt.Sprintf("%d if empty.", config.DefaultQueueLength), &l.QueueLength)
	number(b, "limits.slotsPerTarget", "Slots per target", "If empty, the slots that the target announces.", &l.SlotsPerTarget)
	number(b, "limits.minTargets", "Minimum targets", "Number of targets that you always run.", &l.MinTargets)
	number(b, "limits.connectionsPerTarget", "Connections per target", fmt.Sprintf("%d if empty.", config.DefaultConnectionsPerTarget), &l.ConnectionsPerTarget)
	number(b, "ramp.startSlots", "Slots after a cold start", fmt.Sprintf("%d if empty.", config.DefaultRampStartSlots), &s.Ramp.StartSlots)
	number(b, "ramp.durationMs", "Ramp, ms", fmt.Sprintf("%d if empty.", config.DefaultRampMs), &s.Ramp.DurationMs)
	number(b, "recordCopies", "Copies of idempotency records", fmt.Sprintf("%d if empty.", config.DefaultRecordCopies), &s.RecordCopies)
	number(b, "recordLifetimeMs", "Lifetime of idempotency records, ms", "A day if empty.", &s.RecordLifetimeMs)
}
