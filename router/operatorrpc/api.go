// Package operatorrpc serves operators' requests on the control leader and lets
// every other process forward them to it over RPC. It belongs to the mode with
// hashed shards (coord/control).
package operatorrpc

import (
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// RPC methods of operators' requests.
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

// noParams is the parameter type of methods that take no parameters.
type noParams struct{}

// Register registers c's methods on s, so that Clients in other processes can
// call them. c is the Service of this process.
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
