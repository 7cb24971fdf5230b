package control

// EvacuationChanged reports that an evacuation of this node's own failure domain has
// begun or ended. After the end, requests reach the server beside this node again, which
// may be cold.
// Sent by gate.
type EvacuationChanged struct {
	Evacuated bool
}

// MessageName implements kernel.Message.
func (EvacuationChanged) MessageName() string { return "evacuation-changed" }
