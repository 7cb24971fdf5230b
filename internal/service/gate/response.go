package gate

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

func (s *Service) refuse(c *call, r *refusal) {
	s.counters.countRefused(r.reason)
	s.recordOverload(r.reason)
	s.logCall(c, r.outcome, r.reason, statusCode(r), r.retryAfter)
	s.setResponseHeaders(c, hop.Response{Outcome: r.outcome, Reason: r.reason, RetryAfter: r.retryAfter})
	c.w.Header().Set("Content-Length", "0") // the caller's node reads only the header
	c.w.WriteHeader(statusCode(r))
}

// overloadEventInterval is the minimum time between two overload events on the
// timeline.
const overloadEventInterval = 10 * time.Second

// recordOverload records an overload event on the timeline if a request was refused
// for lack of slots, at most one per overloadEventInterval.
func (s *Service) recordOverload(reason model.Reason) {
	if reason != model.ReasonQueueFull && reason != model.ReasonLate {
		return
	}
	now, last := s.clock.Now().UnixNano(), s.lastOverloadEvent.Load()
	if now-last >= int64(overloadEventInterval) && s.lastOverloadEvent.CompareAndSwap(last, now) {
		s.deps.timeline.Record(timeline.KindOverload, string(reason))
	}
}

func statusCode(r *refusal) int {
	switch r.reason {
	case model.ReasonLeaving:
		if r.outcome == model.OutcomeUnknown {
			return http.StatusBadGateway
		}
		return http.StatusServiceUnavailable
	case model.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.ReasonDuplicate:
		return http.StatusConflict
	case model.ReasonDeadline:
		return http.StatusGatewayTimeout
	case model.ReasonCrashed, model.ReasonConnectionLost, model.ReasonBrokenAnswer, model.ReasonCancelled:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Service) replay(c *call, answer *dedupe.Answer) {
	s.counters.countReplayed()
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	s.setResponseHeaders(c, hop.Response{Outcome: model.OutcomeAnswered})
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(answer.Body)
}

// setResponseHeaders sets the headers that describe the outcome and the load of
// this gate to the caller's node. A gate that is leaving also closes the
// connection.
func (s *Service) setResponseHeaders(c *call, r hop.Response) {
	r.ID, r.Incarnation = c.ID, s.self.Incarnation
	r.Load, r.Waited = s.loadWithWait(c), c.waited()
	s.counters.observe(r.Load)
	if s.timestamps != nil {
		r.Time = s.timestamps.Now()
	}
	header := c.w.Header()
	r.Encode(header)
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil // prevents net/http from adding one
	}
	if s.leaving.Load() {
		header.Set("Connection", "close")
	}
}

func (s *Service) loadWithWait(c *call) hop.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadLocked()
	l.Wait = s.admission.EstimateWait(c.slotRequest(), s.clock.Now())
	return l
}

func (s *Service) load() hop.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

func (s *Service) loadLocked() hop.Load {
	l := s.admission.Load()
	return hop.Load{InFlight: l.Running, Queued: l.Queued, Slots: l.Slots}
}
