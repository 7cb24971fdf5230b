package gate

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// refuse answers a call that the server does not answer.
func (s *Service) refuse(c *call, r *refusal) {
	s.counters.countRefused(r.reason)
	s.noteOverload(r.reason)
	s.logCall(c, r.outcome, r.reason, status(r), r.retryAfter)
	s.stamp(c, hop.Response{Outcome: r.outcome, Reason: r.reason, RetryAfter: r.retryAfter})
	c.w.Header().Set("Content-Length", "0") // nodes read the header only
	c.w.WriteHeader(status(r))
}

// overloadInterval is the least time between two events about overload.
const overloadInterval = 10 * time.Second

// noteOverload records now and then that requests are refused for lack of slots.
func (s *Service) noteOverload(reason model.Reason) {
	if reason != model.ReasonQueueFull && reason != model.ReasonLate {
		return
	}
	now, last := s.clock.Now().UnixNano(), s.overload.Load()
	if now-last >= int64(overloadInterval) && s.overload.CompareAndSwap(last, now) {
		s.partners.timeline.Record(timeline.KindOverload, string(reason))
	}
}

// status returns the HTTP status of a refusal.
func status(r *refusal) int {
	switch r.reason {
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

// replay sends the stored answer to a repeat.
func (s *Service) replay(c *call, answer *dedupe.Answer) {
	s.counters.countReplayed()
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	s.stamp(c, hop.Response{Outcome: model.OutcomeAnswered})
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(answer.Body)
}

// stamp sets the headers that tell the caller's node about the answer and this
// gate. A gate that is leaving also closes its connections.
func (s *Service) stamp(c *call, r hop.Response) {
	r.ID, r.Incarnation = c.ID, s.self.Incarnation
	r.Load, r.Waited = s.loadFor(c), c.waited()
	s.counters.observe(r.Load)
	if s.timestamps != nil {
		r.Time = s.timestamps.Now()
	}
	header := c.w.Header()
	r.Encode(header)
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil // keeps net/http from adding one
	}
	if s.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// loadFor returns the occupancy with the wait of a request like c.
func (s *Service) loadFor(c *call) hop.Load {
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
