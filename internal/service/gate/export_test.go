package gate

// LameDuck is the time for which a drained gate goes on refusing.
const LameDuck = lameDuck

// Ready is the condition that the gate adds to the readiness of its node.
func (s *Service) Ready() error { return s.ready() }
