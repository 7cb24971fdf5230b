package gate

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// evacuation is whether the failure domain of this gate is evacuated. While it is, the
// server beside the gate gets no new requests; the node's own listener keeps working.
type evacuation struct {
	// active is written on the control loop while Service.mu is held.
	active atomic.Bool
	gauge  tally.Gauge
}

// watchEvacuation subscribes to the configuration.
func (s *Service) watchEvacuation(c *kernel.Context) {
	s.evacuation.gauge = s.deps.metrics.Scope().Gauge("gate_evacuated")
	kernel.Subscribe(c.Loop, func(control.ConfigurationChanged) {
		if s.applyEvacuation() {
			c.Loop.Emit(control.EvacuationChanged{Evacuated: s.evacuation.active.Load()})
		}
	})
	kernel.Subscribe(c.Loop, s.handleEvacuationChanged)
	s.applyEvacuation()
}

// handleEvacuationChanged expects a cold server after the end of an evacuation, when all
// callers' nodes send it requests again: servers may have become cold while nothing showed it.
func (s *Service) handleEvacuationChanged(m control.EvacuationChanged) {
	if !m.Evacuated {
		s.assumeCold()
	}
	s.log.Info("evacuation of the failure domain changed", "domain", s.self.Domain, "evacuated", m.Evacuated)
}

// applyEvacuation applies the running configuration and reports whether an evacuation
// has begun or ended. At the begin, queued requests are refused.
func (s *Service) applyEvacuation() bool {
	configuration := s.deps.config.Configuration().Load()
	if configuration == nil || configuration.Tree == nil {
		return false
	}
	_, evacuated := configuration.Tree.Evacuated[s.self.Domain]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuation.active.Swap(evacuated) == evacuated {
		return false
	}
	s.evacuation.gauge.Update(0)
	if evacuated {
		s.evacuation.gauge.Update(1)
		s.deliver(s.admission.RefuseQueued(model.ReasonEvacuated))
	}
	return true
}
