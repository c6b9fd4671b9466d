// Package operatorrpc carries out operators' requests on the control leader, and
// brings them there from any process.
package operatorrpc

import (
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// Methods of operators' requests between processes.
const (
	methodApply      = "operator.apply"
	methodPreview    = "operator.preview"
	methodHistory    = "operator.history"
	methodDocument   = "operator.document"
	methodDrain      = "operator.drain"
	methodMove       = "operator.move"
	methodSplit      = "operator.split"
	methodMerge      = "operator.merge"
	methodAutomation = "operator.automation"
	methodControl    = "operator.control"
	methodStatus     = "operator.status"
	methodDump       = "operator.dump"
)

// none is the parameter of methods without one.
type none struct{}

// Register serves c's methods to other processes.
func Register(s *peer.Server, c operator.ControlPlane) {
	s.Handle(methodApply, bind(c.Apply))
	s.Handle(methodPreview, bind(c.Preview))
	s.Handle(methodHistory, bind(withoutParams(c.History)))
	s.Handle(methodDocument, bind(c.Document))
	s.Handle(methodDrain, bind(c.Drain))
	s.Handle(methodMove, bind(c.Move))
	s.Handle(methodSplit, bind(c.Split))
	s.Handle(methodMerge, bind(c.Merge))
	s.Handle(methodAutomation, bind(c.Automation))
	s.Handle(methodControl, bind(c.ControlChange))
	s.Handle(methodStatus, bind(withoutParams(c.Status)))
	s.Handle(methodDump, bind(c.Dump))
}
