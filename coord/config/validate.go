package config

import (
	"fmt"
	"strings"
)

// Bounds of a document.
const (
	// MaxShards bounds the shards of one key space. It is close to the design scale
	// of 66,000 shards in all key spaces together, so one key space needs no more.
	MaxShards = 65_536
	// MaxTotalShards bounds the shards of all key spaces, at about twice the design
	// scale.
	MaxTotalShards = 131_072
	// MaxTimeoutLimitMs bounds the timeouts of requests. A planned stop and a drain
	// wait for requests in progress, so a longer timeout delays both.
	MaxTimeoutLimitMs = 10 * 60 * 1_000
	// MaxRampMs bounds the ramp after a cold start.
	MaxRampMs = 60 * 60 * 1_000
	// MaxQueue bounds the length of a gate's queue, in requests. Waiting requests
	// use memory.
	MaxQueue = 100_000
	// MaxSlots bounds the concurrency of one target. It also bounds
	// Limits.MinTargets.
	MaxSlots = 10_000
	// MaxConnectionsPerTarget is the number of connections that targets accept.
	MaxConnectionsPerTarget = 130
	// MaxRecordCopies bounds the record copies, because a payment waits until all
	// of them are written.
	MaxRecordCopies = 4
	// MaxRecordLifetimeMs bounds the lifetime of idempotency records, and with it
	// the memory that they use.
	MaxRecordLifetimeMs = 30 * 24 * 60 * 60 * 1_000
)

// Validate returns everything that is wrong with a document, errors and
// warnings, and nil if nothing is wrong. Findings are in the order of data
// centres, services and automation.
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

func (v *validator) addError(path, format string, args ...any) {
	v.findings = append(v.findings, Finding{path, fmt.Sprintf(format, args...), SeverityError})
}

func (v *validator) addWarning(path, format string, args ...any) {
	v.findings = append(v.findings, Finding{path, fmt.Sprintf(format, args...), SeverityWarning})
}

// checkBounds adds an error if value is not between low and high. Zero means the
// default value and is always allowed.
func (v *validator) checkBounds(path string, value, low, high int64) {
	if value != 0 && (value < low || value > high) {
		v.addError(path, "is %d; must be from %d to %d", value, low, high)
	}
}

// checkNames adds errors for invalid and duplicate names of a list. Kind is
// what the messages call the named things.
func (v *validator) checkNames(list, kind string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if fault := CheckName(name); fault != "" {
			v.addError(path, "%s", fault)
			continue
		}
		if j, duplicate := first[name]; duplicate {
			v.addError(path, "%s %q is already defined at %s[%d]", kind, name, list, j)
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
	v.checkNames("dataCentres", "data centre", names)
	for i, dc := range v.document.DataCentres {
		if fault := CheckName(dc.Region); dc.Region != "" && fault != "" {
			v.addError(fmt.Sprintf("dataCentres[%d].region", i), "%s", fault)
		}
	}
}

func (v *validator) services() {
	names := make([]string, 0, len(v.document.Services))
	for _, s := range v.document.Services {
		names = append(names, s.Name)
	}
	v.checkNames("services", "service", names)
	total := uint64(0)
	for i := range v.document.Services {
		s := &v.document.Services[i]
		v.service(fmt.Sprintf("services[%d]", i), s)
		for _, space := range s.Keyspaces() {
			total += uint64(space.Shards)
		}
	}
	if total > MaxTotalShards {
		v.addError("services", "have %d shards in all; at most %d are possible", total, MaxTotalShards)
	}
}

func (v *validator) automation() {
	a := v.document.Automation
	var on []string
	for _, action := range []Action{ActionRebalance, ActionHotKeys, ActionFailover, ActionReplicaReplacement, ActionEjection, ActionRetries} {
		withoutAllOff := a
		withoutAllOff.AllOff = false
		if withoutAllOff.Allowed(action) {
			on = append(on, string(action))
		}
	}
	if a.AllOff && len(on) > 0 {
		v.addWarning("automation.allOff", "is set, so these switches have no effect until it is cleared: %s", strings.Join(on, ", "))
	}
	if a.HotKeys && !a.Rebalance {
		v.addWarning("automation.hotKeys", "splits hot keys, but rebalance is off, so that split keys stay where they are")
	}
}
