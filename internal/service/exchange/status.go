package exchange

import "github.com/galenalever/galenalever/internal/model"

// Status is the section of the exchange service on the status page.
type Status struct {
	// Reader is true if this node reads the platform for its failure domain.
	Reader bool `json:"reader"`
	// Reads is what this node reads from the platform at present.
	Reads string `json:"reads"`
	// Contact is this node's contact with the platform, as it reports it to the nodes
	// that follow it.
	Contact string `json:"contact"`
	// Upstream is the node that this node polls, or the first one that it follows.
	Upstream model.InstanceID `json:"upstream,omitempty"`
	// Second is the second node that this node follows.
	Second model.InstanceID `json:"second_upstream,omitempty"`
	// Fresh is true while the watchdog considers the state of the node up to date.
	Fresh    bool   `json:"fresh"`
	Members  int    `json:"members"`
	Received uint64 `json:"received_bytes"`
	Sent     uint64 `json:"sent_bytes"`
}

// status returns the section for the status page. It may be called from any
// goroutine.
func (s *Service) status() any {
	role := s.role.Load()
	received, sent := s.ControlBytes()
	return Status{
		Reader:   role.reader,
		Reads:    role.scope.String(),
		Contact:  s.contact.Load().String(),
		Upstream: role.upstreams[0].id,
		Second:   role.upstreams[1].id,
		Fresh:    s.watchdog.Fresh(),
		Members:  s.members.Load().Len(),
		Received: received,
		Sent:     sent,
	}
}
