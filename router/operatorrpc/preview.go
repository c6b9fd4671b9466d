package operatorrpc

import (
	"context"
	"slices"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
)

// Preview implements operator.ControlPlane. It counts the units that must change
// owner because the new document no longer allows the current one. Moves of a
// later rebalance are not included. LoadMoved is their share of all units, as if
// each unit carried the same load.
func (svc *Service) Preview(ctx context.Context, text string) (operator.PreviewReply, error) {
	doc, findings := document.Parse("document", []byte(text))
	reply := operator.PreviewReply{Findings: findings}
	if doc == nil {
		return reply, nil
	}
	err := svc.read(ctx, func(s *control.State, _ *control.Controller) {
		revision, old, current := s.Document()
		reply.Base = revision
		reply.Diff = document.Diff(current, document.Canonical(doc))
		moved, total := countMoved(s, old, doc)
		reply.UnitsMoved = moved
		if total > 0 {
			reply.LoadMoved = float64(moved) / float64(total)
		}
	})
	return reply, err
}

// countMoved returns the number of units whose owner's data centre is allowed by the
// old document and not by the next, and the number of all units.
func countMoved(s *control.State, old, next *config.Document) (moved, total int) {
	s.Table().Each(func(e *table.Entry) bool {
		total++
		m, ok := s.Member(e.Owner)
		if ok && allowsDataCentre(old, e, m) && !allowsDataCentre(next, e, m) {
			moved++
		}
		return true
	})
	return moved, total
}

// allowsDataCentre reports whether a document has e's key space and allows its units
// in the data centre of m. The member's state and service are not considered.
func allowsDataCentre(doc *config.Document, e *table.Entry, m control.Member) bool {
	if dc := doc.DataCentre(m.DataCentre); dc != nil && dc.Drained {
		return false
	}
	for i := range doc.Services {
		for _, k := range doc.Services[i].Keyspaces() {
			if k.Name == e.Unit.Keyspace {
				return len(k.DataCentres) == 0 || slices.Contains(k.DataCentres, m.DataCentre)
			}
		}
	}
	return false
}
