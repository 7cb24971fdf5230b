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

// ServeHTTP implements http.Handler for forwarded requests and for the calls of
// other gates.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, ok := hop.DecodeRequest(r.Header)
	switch {
	case !ok && strings.HasPrefix(r.URL.Path, wire.GatePathPrefix):
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerCall)
		s.peerServer.ServeHTTP(w, r)
		return
	case !ok:
		http.Error(w, "this address takes requests from nodes only", http.StatusBadRequest)
		return
	}
	if s.timestamps != nil {
		s.timestamps.Observe(request.Time)
	}
	c := s.newCall(w, r, request)
	defer s.end(c)
	if r := s.misdirected(c); r != nil {
		s.refuse(c, r)
		return
	}
	refused, release := s.holdBody(c)
	defer release()
	if refused != nil {
		s.refuse(c, refused)
		return
	}
	s.decide(c)
}

// misdirected refuses requests that mean another process or server.
func (s *Service) misdirected(c *call) *refusal {
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

// decide finds out whether the request is a repeat, then whether it may run.
func (s *Service) decide(c *call) {
	refused := s.unavailable(c)
	if refused == nil {
		refused = s.suspect(c)
	}
	next := s.begin(c, refused)
	switch {
	case next.refused != nil:
		s.refuse(c, next.refused)
	case next.repeat.Verdict == dedupe.Wait:
		s.repeated(c, s.awaitRepeat(c))
	case next.repeat.Verdict != 0:
		s.repeated(c, next.repeat)
	default:
		s.admitted(c, next.slot)
	}
}

// unavailable refuses requests that no state of the node allows to run now.
func (s *Service) unavailable(c *call) *refusal {
	switch {
	case s.leaving.Load() || s.withdrawn.Load():
		return notRun(model.ReasonLeaving)
	case s.service() == nil || !s.partners.suspects.Prepared():
		return notRun(model.ReasonNotReady)
	case !s.partners.fresh():
		return notRun(model.ReasonStale)
	case !s.clock.Now().Before(c.deadline):
		return notRun(model.ReasonLate)
	case !s.partners.server.Available():
		return notRun(model.ReasonBackendDown)
	case s.displaced(c):
		return notRun(model.ReasonNoServer)
	}
	return nil
}

// suspect applies the quarantine. A quarantined request is not reported as not
// run, since an earlier send of it did run.
func (s *Service) suspect(c *call) *refusal {
	c.suspicion = s.partners.suspects.Decide(c.fingerprint)
	switch c.suspicion.Verdict {
	case quarantine.RunElsewhere:
		return notRun(model.ReasonSuspect)
	case quarantine.Quarantined:
		r := unknown(model.ReasonQuarantined)
		r.retryAfter = c.suspicion.Suspect.Expires.Sub(s.clock.Now())
		return r
	}
	return nil
}

// admitted follows the admission of a request that is no repeat.
func (s *Service) admitted(c *call, d admission.Decision) {
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

// repeated answers a repeat from what is known of the first request.
func (s *Service) repeated(c *call, d dedupe.Decision) {
	switch d.Verdict {
	case dedupe.Replay:
		s.replay(c, d.Answer)
	case dedupe.RefuseNotRun:
		s.refuse(c, notRun(d.Reason))
	default:
		s.refuse(c, unknown(d.Reason))
	}
}
