package config

// Automation holds a switch for each automatic action. A switch that is off
// turns the action into a proposal that an operator can approve.
type Automation struct {
	// AllOff turns every automatic action off, whatever the other switches say.
	AllOff             bool `json:"allOff,omitempty"`
	Rebalance          bool `json:"rebalance"`
	HotKeys            bool `json:"hotKeys"`
	Failover           bool `json:"failover"`
	ReplicaReplacement bool `json:"replicaReplacement"`
	Ejection           bool `json:"ejection"`
	Repeats            bool `json:"repeats"`
}

// Action names an automatic action.
type Action string

const (
	Rebalance          Action = "rebalance"
	HotKeys            Action = "hotKeys"
	Failover           Action = "failover"
	ReplicaReplacement Action = "replicaReplacement"
	Ejection           Action = "ejection"
	Repeats            Action = "repeats"
)

// Allowed reports whether the action may run without an operator.
func (a Automation) Allowed(action Action) bool {
	if a.AllOff {
		return false
	}
	switch action {
	case Rebalance:
		return a.Rebalance
	case HotKeys:
		return a.HotKeys
	case Failover:
		return a.Failover
	case ReplicaReplacement:
		return a.ReplicaReplacement
	case Ejection:
		return a.Ejection
	case Repeats:
		return a.Repeats
	default:
		return false
	}
}

// AllAutomation returns the switches with every action on.
func AllAutomation() Automation {
	return Automation{Rebalance: true, HotKeys: true, Failover: true, ReplicaReplacement: true, Ejection: true, Repeats: true}
}
