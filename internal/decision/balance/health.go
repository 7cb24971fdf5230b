package balance

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Health is the record of failures of one server. The zero value is healthy.
type Health struct {
	// Failures counts consecutive failures.
	Failures int
	// Ejections counts the ejections since the last success.
	Ejections int
	// EjectedUntil is the end of the current ejection.
	EjectedUntil time.Duration
	// Left is true once the server said that it is leaving, or that another
	// process or service has taken its place. It
	// takes no requests until EjectedUntil, whatever the state of the others.
	Left bool
}

const (
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 3
	// ejectionBase doubles with every ejection up to ejectionLimit.
	ejectionBase  = time.Second
	ejectionLimit = 30 * time.Second
	// leftPeriod is how long a server that left is avoided. Its end shows in the
	// members soon; if only its node was restarted, the next request finds it.
	leftPeriod = 2 * time.Second
)

// Ejected reports whether the server is ejected at the given time.
func (h Health) Ejected(now time.Duration) bool { return now < h.EjectedUntil }

// Next returns the record after one more attempt.
func (h Health) Next(r Report, now time.Duration, random Source) Health {
	switch verdictOf(r) {
	case verdictSuccess:
		if h.Left && h.Ejected(now) {
			return h // the answer to a request from before
		}
		return Health{}
	case verdictLeft:
		h.Left = true
		h.EjectedUntil = now + leftPeriod
		return h
	case verdictFailure:
		return h.failed(now, random)
	default:
		return h
	}
}

func (h Health) failed(now time.Duration, random Source) Health {
	h.Failures++
	if h.Failures < ejectAfter || h.Ejected(now) {
		return h
	}
	period := min(ejectionBase<<min(h.Ejections, 10), ejectionLimit)
	h.Ejections++
	h.EjectedUntil = now + jitter(period, random)
	// One more failure after the ejection ejects the server again.
	h.Failures = ejectAfter - 1
	return h
}

type verdict uint8

const (
	verdictNone verdict = iota
	verdictSuccess
	verdictFailure
	verdictLeft
)

// verdictOf tells what an attempt says about the health of its server. A
// refusal for load or a deadline says nothing.
func verdictOf(r Report) verdict {
	if r.Outcome == model.OutcomeAnswered {
		return verdictSuccess
	}
	switch r.Reason {
	case model.ReasonBackendDown, model.ReasonCrashed, model.ReasonStale, model.ReasonNotReady:
		return verdictFailure
	case model.ReasonUnreachable, model.ReasonConnectionLost:
		if r.Reported {
			return verdictNone // the gate is well and speaks of others
		}
		return verdictFailure
	case model.ReasonDeadline:
		if r.Reported || !r.Silent {
			return verdictNone // a server that answers others is slow, not dead
		}
		return verdictFailure
	case model.ReasonLeaving, model.ReasonWrongIncarnation, model.ReasonNoServer:
		return verdictLeft
	default:
		return verdictNone
	}
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration, random Source) time.Duration {
	return d/2 + time.Duration(unit(random)*float64(d/2))
}
