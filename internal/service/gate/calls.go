package gate

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// callLimiter refuses requests whose calls would fail.
type callLimiter interface {
	Admit(kind string, overdue bool, now time.Time) (ok bool, retryAfter time.Duration)
	Withdraw(kind string, now time.Time)
	RunEnded(kind string, failed bool, begun, now time.Time)
}

// checkCalls refuses a request that would make calls if these are refused or late now.
func (s *Service) checkCalls(c *call) *refusal {
	if s.deps.calls == nil {
		return nil
	}
	now := s.clock.Now()
	ok, retryAfter := s.deps.calls.Admit(c.Route, c.overdue(now), now)
	if ok {
		c.countedStart = true
		return nil
	}
	r := notRun(model.ReasonCallsRefused)
	r.retryAfter = retryAfter
	return r
}

// overdue reports whether the call is past its objective and its caller can come again.
func (c *call) overdue(now time.Time) bool {
	return !c.FinalAttempt && !now.Before(c.slotRequest().SoftDeadline)
}

// withdrawStart records that a request which checkCalls admitted was not run.
func (s *Service) withdrawStart(c *call) {
	if c.countedStart {
		c.countedStart = false
		s.deps.calls.Withdraw(c.Route, s.clock.Now())
	}
}

// reportRun reports that the server ended a run with the status.
func (s *Service) reportRun(c *call, status int) {
	if s.deps.calls != nil {
		s.deps.calls.RunEnded(c.Route, status >= http.StatusInternalServerError, c.started, s.clock.Now())
	}
}
