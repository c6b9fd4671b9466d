package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validDocument returns a document without findings: a keyed service with rules, a
// payment service and an internal service in three data centres.
func validDocument() *Document {
	all := []string{"m1", "m2", "m3"}
	return &Document{
		DataCentres: []DataCentre{{Name: "m1", Region: "gulf"}, {Name: "m2", Region: "gulf"}, {Name: "m3", Region: "gulf"}},
		Services: []Service{
			{Name: "catalogue", Keyed: true, DataCentres: all, ShardCount: 64, Rules: []KeyRule{
				{Name: "local", Prefix: "om-", DataCentres: []string{"m1", "m2"}},
				{Name: "local-a", Prefix: "om-a", DataCentres: []string{"m1"}},
				{Name: "rest", Prefix: ""},
			}, Limits: Limits{SlotsPerTarget: 12, MinTargets: 4}},
			{Name: "enrolment", Payments: true, DataCentres: all, Limits: Limits{MinTargets: 3}},
			{Name: "learners", DataCentres: all, Internal: true},
		},
		Automation: AllAutomation(),
	}
}

// Guards against findings in documents that are valid and in use.
func TestValidateAcceptsDocumentsInUse(t *testing.T) {
	is := is.New(t)
	is.Equal(Validate(validDocument()), nil)
	is.Equal(Validate(&Document{}), nil) // the document before the first change
}

// Guards against a document that is accepted although it cannot work, and
// against findings with the wrong path.
func TestValidateFindsEachFault(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *Document)
		want   string
	}{
		{"colon in name", func(d *Document) { d.Services[0].Name = "a:b" }, "services[0].name: may hold letters, digits, '-', '_' and '.' only"},
		{"missing name", func(d *Document) { d.DataCentres[1].Name = "" }, "dataCentres[1].name: is missing"},
		{"long name", func(d *Document) { d.Services[1].Name = strings.Repeat("x", 64) }, "services[1].name: is longer than 63 characters"},
		{"duplicate service", func(d *Document) { d.Services[2].Name = "enrolment" }, `services[2].name: service "enrolment" is already defined at services[1]`},
		{"duplicate data centre", func(d *Document) { d.DataCentres[2].Name = "m1" }, `dataCentres[2].name: data centre "m1" is already defined at dataCentres[0]`},
		{"duplicate rule", func(d *Document) { d.Services[0].Rules[1].Name = "local" }, `services[0].rules[1].name: rule "local" is already defined at services[0].rules[0]`},
		{"region", func(d *Document) { d.DataCentres[0].Region = "a b" }, "dataCentres[0].region: may hold letters"},
		{"same prefix", func(d *Document) { d.Services[0].Rules[1].Prefix = "om-" }, `services[0].rules[1].prefix: "om-" overlaps with rules[0]`},
		{"uncovered keys", func(d *Document) { d.Services[0].Rules[2].Prefix = "x" }, "services[0].rules: leave keys uncovered"},
		{"rules without keys", func(d *Document) { d.Services[0].Keyed = false }, "services[0].rules: need a service that is divided by key"},
		{"unknown data centre in rule", func(d *Document) { d.Services[0].Rules[0].DataCentres[1] = "m9" }, `services[0].rules[0].dataCentres[1]: data centre "m9" is not defined`},
		{"foreign data centre in rule", func(d *Document) { d.Services[0].DataCentres = []string{"m1", "m3"} }, `services[0].rules[0].dataCentres[1]: data centre "m2" is not among`},
		{"drained data centre in rule", func(d *Document) { d.DataCentres[1].Drained = true }, `services[0].rules[0].dataCentres[1]: warning: data centre "m2" is drained`},
		{"only drained data centre in rule", func(d *Document) { d.DataCentres[0].Drained = true }, `services[0].rules[1].dataCentres: warning: every data centre is drained`},
		{"data centre listed twice", func(d *Document) { d.Services[2].DataCentres = []string{"m1", "m1"} }, `services[2].dataCentres[1]: data centre "m1" is already listed`},
		{"no data centre", func(d *Document) { d.Services[2].DataCentres = nil }, "services[2].dataCentres: is empty"},
		{"shards", func(d *Document) { d.Services[0].ShardCount = 65_537 }, "services[0].shards: is 65537; must be from 1 to 65536"},
		{"rule shards", func(d *Document) { d.Services[0].Rules[1].ShardCount = 1 << 30 }, "services[0].rules[1].shards: is 1073741824"},
		{"shards in all", func(d *Document) { d.Services[0].ShardCount = 50_000 }, "services: have 150064 shards in all"},
		{"shards without keys", func(d *Document) { d.Services[2].ShardCount = 8 }, "services[2].shards: warning: has no effect"},
		{"fewer shards than targets", func(d *Document) { d.Services[1].ShardCount = 2 }, "services[1].shards: warning: gives 2 shards for at least 3 targets"},
		{"timeout above bound", func(d *Document) { d.Services[1].Limits.MaxTimeoutMs = 600_001 }, "services[1].limits.maxTimeoutMs: is 600001; must be from 1 to 600000"},
		{"negative timeout", func(d *Document) { d.Services[1].Limits.TimeoutMs = -1 }, "services[1].limits.timeoutMs: is -1"},
		{"timeout above maximum", func(d *Document) { d.Services[1].Limits.MaxTimeoutMs = 1_000 }, "services[1].limits.timeoutMs: the default timeout of 2000 ms is above maxTimeoutMs, which is 1000 ms"},
		{"slots above connections", func(d *Document) { d.Services[0].Limits.SlotsPerTarget = 131 }, "services[0].limits.slotsPerTarget: is 131, but a target has 130 connections"},
		{"connections", func(d *Document) { d.Services[0].Limits.ConnectionsPerTarget = 131 }, "services[0].limits.connectionsPerTarget: is 131"},
		{"ramp above slots", func(d *Document) { d.Services[0].Ramp.StartSlots = 13 }, "services[0].ramp.startSlots: is 13, but a target gives at most 12 slots"},
		{"queue", func(d *Document) { d.Services[0].Limits.QueueLength = -5 }, "services[0].limits.queue: is -5"},
		{"copies above data centres", func(d *Document) { d.Services[1].RecordCopies = 3 }, "services[1].dataCentres: lists 3 data centres, but a record of a payment is kept in 4"},
		{"copies with a drained data centre", func(d *Document) { d.Services[1].RecordCopies = 2; d.DataCentres[0].Drained = true }, "services[1].dataCentres: warning: 2 data centres are in service, but a record of a payment needs 3"},
		{"copies in a pinned rule", func(d *Document) { d.Services[0].Payments = true }, "services[0].rules[1].dataCentres: lists 1 data centres"},
		{"copies above targets", func(d *Document) { d.Services[1].Limits.MinTargets = 1 }, "services[1].limits.minTargets: is 1, but records of payments are on 2 targets"},
		{"copies without payments", func(d *Document) { d.Services[2].RecordCopies = 1 }, "services[2].recordCopies: warning: has no effect"},
		{"record ends before request", func(d *Document) { d.Services[1].RecordLifetimeMs = 100 }, "services[1].recordLifetimeMs: is 100 ms, shorter than maxTimeoutMs"},
		{"all off", func(d *Document) { d.Automation.AllOff = true }, "automation.allOff: warning: is set, so these switches have no effect"},
		{"hot keys without moves", func(d *Document) { d.Automation.Rebalance = false }, "automation.hotKeys: warning: splits hot keys, but rebalance is off"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := validDocument()
			c.change(d)
			findings := Validate(d)
			var lines []string
			for _, f := range findings {
				lines = append(lines, f.String())
			}
			got := strings.Join(lines, "\n")
			if !strings.Contains("\n"+got, "\n"+c.want) {
				t.Errorf("want %q, got %q", c.want, got)
			}
			if HasErrors(findings) == strings.Contains(c.want, "warning:") {
				t.Errorf("severity of %q is wrong", got)
			}
		})
	}
	if !HasErrors(Validate(nil)) {
		t.Error("a missing document must be an error")
	}
}
