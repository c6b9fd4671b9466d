package config

import "fmt"

func (v *validator) limits(path string, s *Service) {
	l := s.Limits
	v.checkBounds(path+".timeoutMs", l.TimeoutMs, 1, MaxTimeoutLimitMs)
	v.checkBounds(path+".maxTimeoutMs", l.MaxTimeoutMs, 1, MaxTimeoutLimitMs)
	full := s.WithDefaults().Limits
	if full.TimeoutMs > full.MaxTimeoutMs {
		v.addError(path+".timeoutMs", "the default timeout of %d ms is above maxTimeoutMs, which is %d ms", full.TimeoutMs, full.MaxTimeoutMs)
	}
	v.checkBounds(path+".queue", int64(l.QueueLength), 1, MaxQueue)
	v.checkBounds(path+".slotsPerTarget", int64(l.SlotsPerTarget), 1, MaxSlots)
	v.checkBounds(path+".minTargets", int64(l.MinTargets), 1, MaxSlots)
	v.checkBounds(path+".connectionsPerTarget", int64(l.ConnectionsPerTarget), 1, MaxConnectionsPerTarget)
	if l.SlotsPerTarget > full.ConnectionsPerTarget {
		v.addError(path+".slotsPerTarget", "is %d, but a target has %d connections and each request in progress takes one", l.SlotsPerTarget, full.ConnectionsPerTarget)
	}
}

func (v *validator) ramp(path string, s *Service) {
	v.checkBounds(path+".startSlots", int64(s.Ramp.StartSlots), 1, MaxSlots)
	v.checkBounds(path+".durationMs", s.Ramp.DurationMs, 1, MaxRampMs)
	slots := s.Limits.SlotsPerTarget
	if slots > 0 && s.Ramp.StartSlots > slots {
		v.addError(path+".startSlots", "is %d, but a target gives at most %d slots (limits.slotsPerTarget)", s.Ramp.StartSlots, slots)
	}
}

// records checks that a service can keep its idempotency records. A record is
// kept in RecordCopies+1 data centres.
func (v *validator) records(path string, s *Service) {
	v.checkBounds(path+".recordCopies", int64(s.RecordCopies), 1, MaxRecordCopies)
	v.checkBounds(path+".recordLifetimeMs", s.RecordLifetimeMs, 1, MaxRecordLifetimeMs)
	if !s.Payments {
		if s.RecordCopies != 0 {
			v.addWarning(path+".recordCopies", "has no effect in a service without payments")
		}
		if s.RecordLifetimeMs != 0 {
			v.addWarning(path+".recordLifetimeMs", "has no effect in a service without payments")
		}
		return
	}
	full := s.WithDefaults()
	if full.RecordLifetimeMs < full.Limits.MaxTimeoutMs {
		v.addError(path+".recordLifetimeMs", "is %d ms, shorter than maxTimeoutMs of %d ms: a record would end before its request", full.RecordLifetimeMs, full.Limits.MaxTimeoutMs)
	}
	if n := s.Limits.MinTargets; n > 0 && n < full.RecordCopies+1 {
		v.addError(path+".limits.minTargets", "is %d, but records of payments are on %d targets", n, full.RecordCopies+1)
	}
	v.checkRecordDataCentres(path+".dataCentres", s.DataCentres, full.RecordCopies+1)
	for i, r := range s.Rules {
		if len(r.DataCentres) > 0 {
			v.checkRecordDataCentres(fmt.Sprintf("%s.rules[%d].dataCentres", path, i), r.DataCentres, full.RecordCopies+1)
		}
	}
}

// checkRecordDataCentres adds an error if a list has fewer than needed different data
// centres, so that the owner and its copies can each be in a different one. It adds a
// warning if fewer than needed of them are in service.
func (v *validator) checkRecordDataCentres(path string, list []string, needed int) {
	if len(list) == 0 {
		return
	}
	listed, inService := map[string]bool{}, map[string]bool{}
	for _, name := range list {
		listed[name] = true
		if dc := v.document.DataCentre(name); dc != nil && !dc.Drained {
			inService[name] = true
		}
	}
	switch {
	case len(listed) < needed:
		v.addError(path, "lists %d data centres, but a record of a payment is kept in %d (recordCopies + 1)", len(listed), needed)
	case len(inService) < needed:
		v.addWarning(path, "%d data centres are in service, but a record of a payment needs %d: payments are refused", len(inService), needed)
	}
}
