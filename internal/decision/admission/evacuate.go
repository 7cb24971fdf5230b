package admission

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// RefuseQueued refuses all queued requests, earliest deadline first. Running requests
// keep their slots, and later requests are admitted as before.
func (s *State) RefuseQueued(reason model.Reason) []Decision {
	var out []Decision
	for _, q := range []*queue{&s.shortQueue, &s.longQueue} {
		slices.SortStableFunc(*q, func(a, b Request) int { return a.Deadline.Compare(b.Deadline) })
		for _, r := range *q {
			out = append(out, refuse(r.Ticket, reason, 0))
		}
		*q = nil
	}
	if s.exclusive.Ticket != 0 {
		out = append(out, refuse(s.exclusive.Ticket, reason, 0))
		s.exclusive = Request{}
	}
	return out
}
