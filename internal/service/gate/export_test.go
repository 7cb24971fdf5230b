package gate

// LameDuckPeriod is the minimum time for which a leaving gate continues to refuse
// requests.
const LameDuckPeriod = lameDuckPeriod

// Ready is the readiness check that the gate adds to its node.
func (s *Service) Ready() error { return s.ready() }
