// Package dependency decides whether a request may start at a server while the calls
// that such requests make are refused or late. A request that cannot get its calls
// answered fails after it has held a slot, and its caller repeats it with all its calls,
// which can keep the called service overloaded after the cause has gone.
//
// Requests are grouped by kind (route). Nothing links a call to the run that makes it, so
// a run counts as failed by a call if the server ended it with an error and a call of this
// server ended without an answer while it ran. The package does no I/O and reads no clock.
// A State is not safe for concurrent use.
package dependency

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// settle is the time within which a call that a server gave up may be reported after
	// the end of its run, as the two travel on different connections.
	settle = 100 * time.Millisecond
	// undecidedRuns is the number of failed runs that are kept for settle.
	undecidedRuns = 16
	// maxTracked bounds the kinds, and the called services, that are tracked. Requests of
	// further kinds are admitted.
	maxTracked = 256
	// forgetAfter is the time after which an unused kind or service makes room for another.
	forgetAfter = 10 * time.Second
)

// State is the knowledge of one node about the runs of its server and their calls. The
// zero value knows nothing and admits everything.
type State struct {
	kinds    map[string]*kind
	services map[model.ServiceName]*called
	calls    window
	// lastUnanswered is when the last call ended without an answer.
	lastUnanswered time.Time
	// undecided are the last failed runs during which no unanswered call was known.
	undecided []failedRun
}

// failedRun is a run that the server ended with an error.
type failedRun struct {
	kind         *kind
	begun, ended time.Time
}

// called is the state of the calls to one service.
type called struct {
	window   window
	lastUsed time.Time
}

// Decision is the decision on one request. RetryAfter is set for a refused one: the delay
// after which its calls are expected to be answered, if calls are from now on.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
	// Changed is true if the limit of the kind began or ended with this request; Limited
	// tells which.
	Changed, Limited bool
}

// CallEnded records the end of a call of the server that began at begun. A call that was
// refused, late or given up has not been answered. It returns the share of the calls to
// the service that were answered in the last windowLength.
func (s *State) CallEnded(service model.ServiceName, answered bool, begun, now time.Time) float64 {
	s.calls.addEnded(now, !answered)
	if !answered {
		s.lastUnanswered = now
		s.attribute(begun, now)
	}
	c := lookUp(&s.services, service, now, func(c *called) *time.Time { return &c.lastUsed })
	if c == nil {
		return s.calls.total.answeredShare()
	}
	c.window.addEnded(now, !answered)
	return c.window.total.answeredShare()
}

// attribute attributes an unanswered call to the last failed run that had ended when the
// call was reported, if there is one.
func (s *State) attribute(begun, now time.Time) {
	for i, run := range slices.Backward(s.undecided) {
		if now.Sub(run.ended) <= settle && !begun.Before(run.begun) && !begun.After(run.ended) {
			s.undecided = slices.Delete(s.undecided, i, i+1)
			run.kind.addFailed(run.begun, now)
			return
		}
	}
}

// RunEnded records a run that the server ended, with an error or not, and that began at
// begun. Runs that their callers gave up are not recorded.
func (s *State) RunEnded(name string, failed bool, begun, now time.Time) {
	k := s.kind(name, now)
	if k == nil {
		return
	}
	k.window.addEnded(now, false)
	k.trial.add(begun, 1, 0)
	switch {
	case !failed:
	case !s.lastUnanswered.Before(begun):
		k.addFailed(begun, now)
	default:
		if len(s.undecided) == undecidedRuns {
			s.undecided = slices.Delete(s.undecided, 0, 1)
		}
		s.undecided = append(s.undecided, failedRun{kind: k, begun: begun, ended: now})
	}
}

// Admit decides whether a request may start, and counts it. overdue is true for a request
// that has missed its latency objective. A request that does not run after all must be
// withdrawn.
func (s *State) Admit(name string, overdue bool, now time.Time) Decision {
	k := s.kind(name, now)
	if k == nil {
		return Decision{Admitted: true}
	}
	s.calls.at(now)
	return k.decide(s.calls.total.failed, overdue, now)
}

// Forecast returns what Admit would decide. It changes nothing, since it decides on copies.
func (s *State) Forecast(name string, overdue bool, now time.Time) Decision {
	known := s.kinds[name]
	if known == nil {
		return Decision{Admitted: true}
	}
	calls, k := s.calls, *known
	calls.at(now)
	return k.decide(calls.total.failed, overdue, now)
}

// Withdraw records that an admitted request did not run.
func (s *State) Withdraw(name string, now time.Time) {
	if k := s.kinds[name]; k != nil {
		if b := k.window.at(now); k.window.total.started > 0 {
			b.started--
			k.window.total.started--
			k.next = k.next.Add(-k.interval)
		}
	}
}

// kind returns the state of a kind, or nil if too many are tracked.
func (s *State) kind(name string, now time.Time) *kind {
	return lookUp(&s.kinds, name, now, func(k *kind) *time.Time { return &k.lastUsed })
}

// lookUp returns the entry of a key, a new one if there is none, or nil if too many are in
// use.
func lookUp[K comparable, V any](entries *map[K]*V, key K, now time.Time, lastUsed func(*V) *time.Time) *V {
	entry := (*entries)[key]
	if entry == nil {
		if *entries == nil {
			*entries = make(map[K]*V)
		}
		if len(*entries) >= maxTracked {
			for other, v := range *entries {
				if now.Sub(*lastUsed(v)) > forgetAfter {
					delete(*entries, other)
				}
			}
		}
		if len(*entries) >= maxTracked {
			return nil
		}
		entry = new(V)
		(*entries)[key] = entry
	}
	*lastUsed(entry) = now
	return entry
}
