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
	// EjectedUntil is the end of the last ejection; 0 means that there was none.
	EjectedUntil time.Duration
	// Left is true once the server's gate has reported that the server is leaving, is
	// evacuated or has been replaced by another process or service. The server is not chosen
	// before EjectedUntil, not even in panic mode.
	Left bool
}

const (
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 3
	// ejectionBase is the length of the first ejection. It doubles with every further
	// one up to ejectionLimit; jitter shortens each one by up to half.
	ejectionBase  = time.Second
	ejectionLimit = 30 * time.Second
	// leftExclusion is how long a server that has left is excluded. A server that
	// does not return is soon removed from the members; one whose node was only
	// restarted is chosen again after this time.
	leftExclusion = 2 * time.Second
	// evacuatedExclusion is leftExclusion for a server whose failure domain is evacuated.
	// It is about the time in which all nodes learn of the begin or the end of an
	// evacuation, so that a server whose gate learns of the end last is not left out longer.
	evacuatedExclusion = time.Second
)

// Ejected reports whether the server is ejected at the given time.
func (h Health) Ejected(now time.Duration) bool { return now < h.EjectedUntil }

// Next returns the record after one more attempt, which ended at now.
func (h Health) Next(r Report, now time.Duration, random Source) Health {
	switch healthSignalOf(r) {
	case signalSuccess:
		if h.Left && h.Ejected(now) {
			return h // the response to a request sent before it left
		}
		return Health{}
	case signalLeft:
		h.Left = true
		h.EjectedUntil = now + leftExclusion
		if r.Reason == model.ReasonEvacuated {
			h.EjectedUntil = now + evacuatedExclusion
		}
		return h
	case signalFailure:
		return h.afterFailure(now, random)
	default:
		return h
	}
}

func (h Health) afterFailure(now time.Duration, random Source) Health {
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

// healthSignal is what an attempt shows about the health of its server.
type healthSignal uint8

const (
	signalNone healthSignal = iota
	signalSuccess
	signalFailure
	signalLeft
)

// healthSignalOf classifies the result of an attempt. A refusal because of load or a
// deadline shows nothing about the health of the server.
func healthSignalOf(r Report) healthSignal {
	if r.Outcome == model.OutcomeAnswered {
		return signalSuccess
	}
	switch r.Reason {
	case model.ReasonBackendDown, model.ReasonCrashed, model.ReasonStale, model.ReasonNotReady:
		return signalFailure
	case model.ReasonUnreachable, model.ReasonConnectionLost:
		if r.Reported {
			return signalNone // the gate works and reports a failure elsewhere
		}
		return signalFailure
	case model.ReasonDeadline:
		if r.Reported || !r.Silent {
			return signalNone // a server that responds to other requests is slow, not down
		}
		return signalFailure
	case model.ReasonLeaving, model.ReasonEvacuated, model.ReasonWrongIncarnation, model.ReasonNoServer:
		return signalLeft
	default:
		return signalNone
	}
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration, random Source) time.Duration {
	return d/2 + time.Duration(randomFloat(random)*float64(d/2))
}
