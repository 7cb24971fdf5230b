package membership

import "github.com/galenalever/galenalever/internal/model"

// ServiceMembers returns all known members of a service. It is safe for concurrent use;
// the result must not be modified.
func (s *Service) ServiceMembers(name model.ServiceName) []model.Member {
	return s.view.Load().Service(name)
}
