package table

// Phase is the state of a unit's ownership.
type Phase uint8

const (
	// Unowned means that no member may serve the unit.
	Unowned Phase = iota
	// Serving means that Owner serves the unit.
	Serving
	// Moving means that Owner stops serving and NextOwner takes over after the
	// release was recorded.
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
