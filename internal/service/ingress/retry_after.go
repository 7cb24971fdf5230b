package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/decision/retryafter"
	"github.com/galenalever/galenalever/internal/model"
)

// retryAfter returns the Retry-After delay of a refused request and counts the retry if
// its caller is expected to come again.
func (s *Service) retryAfter(entry requestLog, r refusal) time.Duration {
	refused := s.retryRefusal(entry, r)
	delay := retryafter.Delay(refused, rand.Float64())
	if rt := entry.match.Route; rt != nil && retryafter.Honored(delay, refused.TimeLeft) {
		s.metrics.countExpectedRetry(rt)
	}
	return delay
}

// retryRefusal returns a refusal as retryafter sees it.
func (s *Service) retryRefusal(entry requestLog, r refusal) retryafter.Refusal {
	refused := retryafter.Refusal{Capacity: r.retryAfter, Fault: isFault(r.reason)}
	if entry.caller.Timeout > 0 {
		refused.TimeLeft = max(entry.caller.Timeout-s.clock.Now().Sub(entry.begin), 1)
	}
	if rt := entry.match.Route; rt != nil {
		refused.Priority = rt.Priority
	}
	return refused
}

// isFault reports whether a refusal shows a fault rather than a lack of capacity: gates send
// a server no more requests than it has slots, so one that rejects them is not full. Where
// servers are down or out of reach, a quick retry meets the same.
func isFault(reason model.Reason) bool { return reason == model.ReasonServerRefused }
