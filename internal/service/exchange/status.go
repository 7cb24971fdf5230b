package exchange

import "github.com/galenalever/galenalever/internal/model"

// Status is the section of the service on the status page.
type Status struct {
	Reader   bool             `json:"reader"`
	Upstream model.InstanceID `json:"upstream,omitempty"`
	// Second is the other node that is followed, if there are two.
	Second   model.InstanceID `json:"second_upstream,omitempty"`
	Fresh    bool             `json:"fresh"`
	Members  int              `json:"members"`
	Received uint64           `json:"received_bytes"`
	Sent     uint64           `json:"sent_bytes"`
}

// status is called by operators' goroutines.
func (s *Service) status() any {
	role := s.role.Load()
	received, sent := s.ControlBytes()
	return Status{
		Reader:   role.reader,
		Upstream: role.upstreams[0].id,
		Second:   role.upstreams[1].id,
		Fresh:    s.watchdog.Fresh(),
		Members:  s.members.Load().Len(),
		Received: received,
		Sent:     sent,
	}
}
