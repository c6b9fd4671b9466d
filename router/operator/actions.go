package operator

import "bramleyquay.example/coord/config"

// Scope says what a drain applies to.
type Scope string

const (
	// ScopeTarget drains the target of one member. It has the same effect as
	// ScopeInstance with the member's id.
	ScopeTarget Scope = "target"
	// ScopeInstance drains one member, or every member at one IP address.
	ScopeInstance Scope = "instance"
	// ScopeDataCentre drains all members of a data centre.
	ScopeDataCentre Scope = "dataCentre"
)

// DrainRequest takes something out of service (On) or returns it. A return ends only
// the drain with the same scope and name.
type DrainRequest struct {
	Scope Scope `json:"scope"`
	// Name is a member's id, a data centre's name, or for ScopeInstance also an
	// IPv4 address.
	Name     string `json:"name"`
	On       bool   `json:"on"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
}

// MoveRequest moves a unit to a member.
type MoveRequest struct {
	// Unit has the form that shard.Unit.String returns.
	Unit string `json:"unit"`
	// To is the id of the member that gets the unit.
	To       string `json:"to"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
}

// SplitRequest splits a key out of its shard.
type SplitRequest struct {
	Service  string `json:"service"`
	Key      string `json:"key"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
}

// MergeRequest merges a split key back into its shard.
type MergeRequest struct {
	// Unit is a split key in the form that shard.Unit.String returns.
	Unit     string `json:"unit"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
}

// AutomationOp is what an AutomationRequest does.
type AutomationOp string

const (
	AutomationList    AutomationOp = "list"
	AutomationApprove AutomationOp = "approve"
	AutomationDismiss AutomationOp = "dismiss"
	AutomationOn      AutomationOp = "on"
	AutomationOff     AutomationOp = "off"
)

// AllActions means every automatic action in an AutomationRequest. AutomationOff
// sets config.Automation.AllOff and AutomationOn clears it, so that the switches of
// the single actions keep their state.
const AllActions config.Action = "all"

// AutomationRequest lists or changes switches and pending actions.
type AutomationRequest struct {
	Op AutomationOp `json:"op"`
	// Action is required by AutomationOn and AutomationOff.
	Action config.Action `json:"action,omitempty"`
	// ID is the id of the pending action to approve or dismiss.
	ID       string `json:"id,omitempty"`
	ChangeID string `json:"changeId,omitempty"`
	Author   string `json:"author,omitempty"`
}

// AutomationReply holds the state after the request.
type AutomationReply struct {
	Result   Result            `json:"result"`
	Switches config.Automation `json:"switches"`
	Pending  []PendingAction   `json:"pending"`
}

// ControlOp is what a ControlChangeRequest does.
type ControlOp string

const (
	// ControlAdd adds a learner.
	ControlAdd ControlOp = "add"
	// ControlPromote makes a learner that has caught up with the log a voter.
	ControlPromote ControlOp = "promote"
	// ControlRemove removes a replica.
	ControlRemove ControlOp = "remove"
)

// ControlChangeRequest adds, promotes or removes a replica of the control group.
type ControlChangeRequest struct {
	Op ControlOp `json:"op"`
	ID string    `json:"id"`
	// Address is the replica's peer address. Only add requires it. It is checked
	// and not used: replicas are found by the settings or the member directory.
	Address  string `json:"address,omitempty"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
}

// Result describes the effect of an action.
type Result struct {
	// Text is one sentence for the operator.
	Text string `json:"text"`
	// Already is set if there was nothing to do, for example because the unit is
	// already at the member. The retry of an accepted change does not always set
	// it.
	Already bool `json:"already,omitempty"`
	// Revision is the revision of the document that the action made, or 0.
	Revision uint64 `json:"revision,omitempty"`
}

func (r DrainRequest) change() (id, author string) { return r.ChangeID, r.Author }

func (r MoveRequest) change() (id, author string) { return r.ChangeID, r.Author }

func (r SplitRequest) change() (id, author string) { return r.ChangeID, r.Author }

func (r MergeRequest) change() (id, author string) { return r.ChangeID, r.Author }

func (r AutomationRequest) change() (id, author string) { return r.ChangeID, r.Author }

func (r ControlChangeRequest) change() (id, author string) { return r.ChangeID, r.Author }
