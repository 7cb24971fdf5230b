package gate

import (
	"strconv"

	"github.com/galenalever/galenalever/internal/decision/admission"
)

// maxPriorityTag bounds the values of the tag "priority"; less urgent calls share the last.
const maxPriorityTag = 3

// countDisplaced counts a call that its admission level refused on arrival.
func (s *Service) countDisplaced(c *call, d admission.Decision) {
	if !d.Displaced {
		return
	}
	priority := strconv.Itoa(min(max(c.Priority, 0), maxPriorityTag))
	s.counters.scope.Tagged(map[string]string{"priority": priority}).Counter("gate_displaced").Inc(1)
}

// admissionLevels returns the admission levels by priority, in percent.
func (s *Service) admissionLevels() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	const percent = 100
	levels := s.admission.Levels(s.clock.Now())
	out := make([]int, len(levels))
	for p, level := range levels {
		out[p] = int(level * percent)
	}
	return out
}
