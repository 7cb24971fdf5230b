package gate

import (
	"net/http"
	"strings"

	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// ServeHTTP implements http.Handler for forwarded requests and for calls from other
// gates.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, ok := hop.DecodeRequest(r.Header)
	switch {
	case !ok && strings.HasPrefix(r.URL.Path, wire.GatePathPrefix):
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerRequestBytes)
		s.peerServer.ServeHTTP(w, r)
		return
	case !ok:
		w.Header().Set("Connection", "close")
		http.Error(w, "this address takes requests from nodes only", http.StatusBadRequest)
		return
	}
	if s.timestamps != nil {
		s.timestamps.Observe(request.Time)
	}
	c := s.newCall(w, r, request)
	defer s.end(c)
	if r := s.checkTarget(c); r != nil {
		s.refuse(c, r)
		return
	}
	refused, release := s.bufferBody(c)
	defer release()
	if refused != nil {
		s.refuse(c, refused)
		return
	}
	s.decide(c)
}

// checkTarget refuses requests for another service or incarnation, and those that
// are too large.
func (s *Service) checkTarget(c *call) *refusal {
	switch {
	case c.Service != s.self.Service:
		return notRun(model.ReasonNoServer)
	case c.Incarnation != 0 && c.Incarnation != s.self.Incarnation:
		return notRun(model.ReasonWrongIncarnation)
	case c.r.ContentLength > maxRequestBytes:
		return notRun(model.ReasonTooLarge)
	}
	return nil
}

// check refuses a call that may not run here, whatever the load is.
func (s *Service) check(c *call) *refusal {
	refused := s.checkAvailability(c)
	if refused == nil {
		refused = s.checkTimeLeft(c)
	}
	if refused == nil {
		refused = s.checkQuarantine(c)
	}
	return refused
}

// decide checks whether the request is a repeat, then whether it may run.
func (s *Service) decide(c *call) {
	next := s.begin(c, s.check(c))
	switch {
	case next.refused != nil:
		s.refuse(c, next.refused)
	case next.repeat.Verdict == dedupe.Wait:
		s.handleRepeat(c, s.awaitFirstRequest(c))
	case next.repeat.Verdict != 0:
		s.handleRepeat(c, next.repeat)
	default:
		s.handleAdmission(c, next.slot)
	}
}

// checkServerListing refuses new requests while the platform lists the backend server as
// leaving or its failure domain is evacuated.
func (s *Service) checkServerListing() *refusal {
	switch {
	case s.withdrawn.Load():
		return notRun(model.ReasonLeaving)
	case s.evacuation.active.Load():
		return notRun(model.ReasonEvacuated)
	}
	return nil
}

func (s *Service) checkAvailability(c *call) *refusal {
	if s.leaving.Load() {
		return notRun(model.ReasonLeaving)
	}
	if refused := s.checkServerListing(); refused != nil {
		return refused
	}
	switch {
	case s.service() == nil || !s.deps.suspects.Prepared():
		return notRun(model.ReasonNotReady)
	case !s.deps.fresh():
		return notRun(model.ReasonStale)
	case !s.clock.Now().Before(c.deadline):
		return notRun(model.ReasonLate)
	case !s.deps.server.Available():
		return notRun(model.ReasonBackendDown)
	case s.targetGone(c):
		return notRun(model.ReasonNoServer)
	}
	return nil
}

// checkQuarantine refuses requests that the quarantine does not let run here. A
// quarantined request is not reported as not run, since an earlier attempt did run.
func (s *Service) checkQuarantine(c *call) *refusal {
	c.quarantineDecision = s.deps.suspects.Decide(c.fingerprint)
	switch c.quarantineDecision.Verdict {
	case quarantine.RunElsewhere:
		return notRun(model.ReasonSuspect)
	case quarantine.Quarantined:
		r := unknown(model.ReasonQuarantined)
		r.retryAfter = c.quarantineDecision.Suspect.Expires.Sub(s.clock.Now())
		return r
	}
	return nil
}

// suspectElsewhere reports whether a call that was clear when it arrived has become a suspect
// that must not run here: a server has crashed beside an equal request while this one waited
// for its slot.
func (s *Service) suspectElsewhere(c *call) bool {
	if c.quarantineDecision.Verdict != quarantine.Clear {
		return false
	}
	switch s.deps.suspects.Decide(c.fingerprint).Verdict {
	case quarantine.RunElsewhere, quarantine.Quarantined:
		return true
	}
	return false
}

func (s *Service) handleAdmission(c *call, d admission.Decision) {
	if d.Verdict == admission.Wait {
		d = s.awaitSlot(c)
	}
	if d.Verdict == admission.Refuse {
		r := notRun(d.Reason)
		r.retryAfter = d.RetryAfter
		s.endNotRun(c, r)
		return
	}
	s.run(c)
}

func (s *Service) handleRepeat(c *call, d dedupe.Decision) {
	switch d.Verdict {
	case dedupe.Replay:
		s.replay(c, d.Answer)
	case dedupe.RefuseNotRun:
		s.refuse(c, notRun(d.Reason))
	default:
		s.refuse(c, unknown(d.Reason))
	}
}
