package config

// Automation holds a switch for each automatic action. While Rebalance, HotKeys,
// Failover or ReplicaReplacement is off, the action becomes a proposal that an
// operator can approve. While Ejection is off, ingress does not eject targets; while
// Retries is off, it neither retries nor hedges requests.
type Automation struct {
	// AllOff turns every automatic action off, whatever the other switches are.
	AllOff             bool `json:"allOff,omitempty"`
	Rebalance          bool `json:"rebalance"`
	HotKeys            bool `json:"hotKeys"`
	Failover           bool `json:"failover"`
	ReplicaReplacement bool `json:"replicaReplacement"`
	Ejection           bool `json:"ejection"`
	Retries            bool `json:"repeats"`
}

// Action names an automatic action.
type Action string

const (
	ActionRebalance          Action = "rebalance"
	ActionHotKeys            Action = "hotKeys"
	ActionFailover           Action = "failover"
	ActionReplicaReplacement Action = "replicaReplacement"
	ActionEjection           Action = "ejection"
	ActionRetries            Action = "repeats"
)

// Allowed reports whether the action may run without an operator's approval. It
// returns false for an unknown action.
func (a Automation) Allowed(action Action) bool {
	if a.AllOff {
		return false
	}
	switch action {
	case ActionRebalance:
		return a.Rebalance
	case ActionHotKeys:
		return a.HotKeys
	case ActionFailover:
		return a.Failover
	case ActionReplicaReplacement:
		return a.ReplicaReplacement
	case ActionEjection:
		return a.Ejection
	case ActionRetries:
		return a.Retries
	default:
		return false
	}
}

// AllAutomation returns the switches with every action on.
func AllAutomation() Automation {
	return Automation{Rebalance: true, HotKeys: true, Failover: true, ReplicaReplacement: true, Ejection: true, Retries: true}
}
