package config

import (
	"fmt"
	"strings"
)

// Bounds of a document.
const (
	// MaxShards bounds one key space. The design scale of 66,000 shards in all
	// leaves no reason for more in one.
	MaxShards = 65_536
	// MaxTotalShards bounds the table, at about twice the design scale.
	MaxTotalShards = 131_072
	// MaxTimeoutLimitMs bounds deadlines. A planned stop and a drain wait for
	// requests in progress, so a longer deadline delays both.
	MaxTimeoutLimitMs = 10 * 60 * 1_000
	// MaxRampMs bounds the ramp after a cold start.
	MaxRampMs = 60 * 60 * 1_000
	// MaxQueue bounds a gate's queue, in requests that wait in memory.
	MaxQueue = 100_000
	// MaxSlots bounds the concurrency of one target.
	MaxSlots = 10_000
	// MaxConnectionsPerTarget is what the targets accept.
	MaxConnectionsPerTarget = 130
	// MaxRecordCopies bounds the copies that a payment waits for.
	MaxRecordCopies = 4
	// MaxRecordLifetimeMs bounds the memory for records of payments.
	MaxRecordLifetimeMs = 30 * 24 * 60 * 60 * 1_000
)

// Validate returns everything that is wrong with a document, in the order of
// the document. Findings are errors unless they are marked as warnings.
func Validate(d *Document) []Finding {
	if d == nil {
		return []Finding{{Text: "document is missing", Severity: SeverityError}}
	}
	v := &validator{document: d}
	v.dataCentres()
	v.services()
	v.automation()
	return v.findings
}

type validator struct {
	document *Document
	findings []Finding
}

func (v *validator) fault(path, format string, args ...any) {
	v.findings = append(v.findings, Finding{path, fmt.Sprintf(format, args...), SeverityError})
}

func (v *validator) warn(path, format string, args ...any) {
	v.findings = append(v.findings, Finding{path, fmt.Sprintf(format, args...), SeverityWarning})
}

// between reports a number outside of its bounds. Zero stands for a default
// value and is always allowed.
func (v *validator) between(path string, value, low, high int64) {
	if value != 0 && (value < low || value > high) {
		v.fault(path, "is %d; must be from %d to %d", value, low, high)
	}
}

// names reports invalid and duplicate names of a list.
func (v *validator) names(list, what string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if fault := CheckName(name); fault != "" {
			v.fault(path, "%s", fault)
			continue
		}
		if j, twice := first[name]; twice {
			v.fault(path, "%s %q is already defined at %s[%d]", what, name, list, j)
			continue
		}
		first[name] = i
	}
}

func (v *validator) dataCentres() {
	names := make([]string, 0, len(v.document.DataCentres))
	for _, dc := range v.document.DataCentres {
		names = append(names, dc.Name)
	}
	v.names("dataCentres", "data centre", names)
	for i, dc := range v.document.DataCentres {
		if fault := CheckName(dc.Region); dc.Region != "" && fault != "" {
			v.fault(fmt.Sprintf("dataCentres[%d].region", i), "%s", fault)
		}
	}
}

func (v *validator) services() {
	names := make([]string, 0, len(v.document.Services))
	for _, s := range v.document.Services {
		names = append(names, s.Name)
	}
	v.names("services", "service", names)
	total := uint64(0)
	for i := range v.document.Services {
		s := &v.document.Services[i]
		v.service(fmt.Sprintf("services[%d]", i), s)
		for _, space := range s.Keyspaces() {
			total += uint64(space.Shards)
		}
	}
	if total > MaxTotalShards {
		v.fault("services", "have %d shards in all; at most %d are possible", total, MaxTotalShards)
	}
}

func (v *validator) automation() {
	a := v.document.Automation
	var on []string
	for _, action := range []Action{ActionRebalance, ActionHotKeys, ActionFailover, ActionReplicaReplacement, ActionEjection, ActionRetries} {
		each := a
		each.AllOff = false
		if each.Allowed(action) {
			on = append(on, string(action))
		}
	}
	if a.AllOff && len(on) > 0 {
		v.warn("automation.allOff", "is set, so these switches have no effect until it is cleared: %s", strings.Join(on, ", "))
	}
	if a.HotKeys && !a.Rebalance {
		v.warn("automation.hotKeys", "splits hot keys, but rebalance is off, so that split keys stay where they are")
	}
}
