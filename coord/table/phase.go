package table

// Phase is the state of a unit's ownership.
type Phase uint8

const (
	// Unowned means that no member may serve the unit. Owner may still be set.
	Unowned Phase = iota
	// Serving means that Owner serves the unit.
	Serving
	// Moving means that Owner stops serving, and that NextOwner becomes the owner
	// once control has recorded that Owner released the unit.
	Moving
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Moving:
		return "moving"
	default:
		return "unowned"
	}
}
