package gate

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// callForecaster is implemented by a callLimiter that can tell what Admit would decide.
type callForecaster interface {
	Forecast(kind string, overdue bool, now time.Time) (ok bool, retryAfter time.Duration)
}

// The verdicts of a forecast.
const (
	verdictRun    = "run"
	verdictWait   = "wait"
	verdictReplay = "replay"
	verdictRefuse = "refuse"
)

// Forecast returns what the gate would do with a request that arrived now at the traffic
// address, without a body and without any time in transit. It reports false if the address
// is not that of this gate. It changes nothing.
func (s *Service) Forecast(address string, request hop.Request, r *http.Request) (status.WhereForecast, bool) {
	if address != s.self.Addresses.Traffic {
		return status.WhereForecast{}, false
	}
	c := s.describeCall(nil, r, request, s.clock.Now(), 0)
	refused := s.checkTarget(c)
	if refused != nil {
		c.keys = nil // the memory is not asked
	} else {
		refused = s.check(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	load := s.admission.Load()
	f := status.WhereForecast{
		InFlight: load.Running, Queued: load.Queued, Slots: load.Slots, Cold: s.paced() && s.warming.state.Cold(now),
	}
	if d, known := s.memory.Forecast(c.keys, c.contentFingerprint, now); known {
		forecastRepeat(&f, d)
		return f, true
	}
	if refused == nil {
		refused = s.forecastCalls(c, now)
	}
	if refused == nil {
		refused = s.forecastSlot(&f, c.slotRequest(), now)
	}
	if refused == nil && c.idempotencyKey != "" && !s.recordsKnown.Load() { // see replicateKey
		refused = notRun(model.ReasonNotReady)
	}
	if refused != nil {
		f.Verdict, f.Outcome = verdictRefuse, refused.outcome.String()
		f.Reason, f.RetryAfter = refused.reason, refused.retryAfter
	}
	return f, true
}

func forecastRepeat(f *status.WhereForecast, d dedupe.Decision) {
	switch d.Verdict {
	case dedupe.Replay:
		f.Verdict = verdictReplay
	case dedupe.Wait:
		f.Verdict = verdictWait
	default:
		f.Verdict, f.Outcome, f.Reason = verdictRefuse, model.OutcomeUnknown.String(), d.Reason
	}
}

// forecastCalls returns what checkCalls would return.
func (s *Service) forecastCalls(c *call, now time.Time) *refusal {
	calls, ok := s.deps.calls.(callForecaster)
	if !ok {
		return nil
	}
	admitted, retryAfter := calls.Forecast(c.Route, c.overdue(now), now)
	if admitted {
		return nil
	}
	r := notRun(model.ReasonCallsRefused)
	r.retryAfter = retryAfter
	return r
}

// forecastSlot sets the verdict of the admission control, or returns its refusal. The
// caller must hold s.mu.
func (s *Service) forecastSlot(f *status.WhereForecast, r admission.Request, now time.Time) *refusal {
	d := s.admission.Forecast(r, now)
	switch d.Verdict {
	case admission.Refuse:
		refused := notRun(d.Reason)
		refused.retryAfter = d.RetryAfter
		return refused
	case admission.Wait:
		f.Verdict, f.Wait = verdictWait, s.admission.EstimateWait(r, now)
	default:
		f.Verdict = verdictRun
	}
	return nil
}
