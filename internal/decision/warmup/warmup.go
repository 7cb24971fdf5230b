package warmup

import "time"

// State holds what a gate knows about the warm-up of its server, and the requests that it
// sent there lately. It is not safe for concurrent use.
//
// The evidence has two sources. Listings grow old on their way, so they never shorten
// what the gate has observed itself. Health responses are current and replace all that
// was known before.
type State struct {
	limits Limits
	window window
	// blockedUntil is when the requests of an earlier process of the node, whose count
	// is lost, have left the window.
	blockedUntil time.Time
	// listed and reported are the statements of the latest listing and of the latest
	// health response.
	listed, reported statement
	// assumedSince is since when the server is assumed to be cold without a statement
	// of its own; zero if it is not. unlisted means that the first listing ends it.
	assumedSince time.Time
	unlisted     bool
	// down is true while the server is known to be down; reportedSince is true once a
	// health response has stated its warm-up since.
	down, reportedSince bool
}

// statement is the rest of a warm-up at a time; the zero value says nothing.
type statement struct {
	left time.Duration
	at   time.Time
}

// until returns the end of the warm-up, which lasts for longest at most.
func (s statement) until(longest time.Duration) time.Time {
	if s.left <= 0 {
		return time.Time{}
	}
	return s.at.Add(min(s.left, longest))
}

// New returns the state of a node that starts now: whatever an earlier process sent to
// the server counts as sent in this moment, and the server counts as cold until its first
// listing or health response.
func New(now time.Time) *State {
	return &State{blockedUntil: now.Add(Window), assumedSince: now, unlisted: true, window: window{limit: 1}}
}

// Configure replaces the limits.
func (s *State) Configure(limits Limits) {
	s.limits = limits
	s.window.limit = limits.PerSecond()
}

// Limits returns the limits in force.
func (s *State) Limits() Limits { return s.limits }

// Listed records a new listing of the server: left is the rest of its warm-up when the
// listing was written. It is counted from the receipt, so it ends too late rather than too
// early. It also reveals a later start, and a running server that became cold again.
func (s *State) Listed(left time.Duration, now time.Time) {
	s.listed = statement{left: left, at: now}
	if s.unlisted {
		s.assumedSince, s.unlisted = time.Time{}, false
	}
}

// Reported records the rest of the warm-up that a health response states.
func (s *State) Reported(left time.Duration, now time.Time) {
	s.reported, s.listed = statement{left: left, at: now}, statement{}
	s.assumedSince, s.unlisted = time.Time{}, false
	s.reportedSince = true
}

// WentDown records that the server crashed or does not respond.
func (s *State) WentDown() { s.down, s.reportedSince = true, false }

// Returned records that a server that was down responds again. Unless a health response
// has stated the rest of its warm-up, it counts as cold for the whole time.
func (s *State) Returned(now time.Time) {
	if s.down && !s.reportedSince {
		s.Assume(now)
	}
	s.down = false
}

// Assume makes the server count as cold until a health response states otherwise, for a
// whole warm-up at most. Listings do not end it, since they may be older.
func (s *State) Assume(now time.Time) { s.assumedSince, s.unlisted = now, false }

// ColdUntil returns when the server will be warm, as far as is known. A time that is not
// after now means that it is warm. A server that is down stays cold.
func (s *State) ColdUntil(now time.Time) time.Time {
	if !s.limits.Declared() {
		return time.Time{}
	}
	if s.down {
		return now.Add(s.limits.Warmup)
	}
	until := later(s.listed.until(s.limits.Warmup), s.reported.until(s.limits.Warmup))
	if !s.assumedSince.IsZero() {
		until = later(until, s.assumedSince.Add(s.limits.Warmup))
	}
	return until
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Cold reports whether the server is cold.
func (s *State) Cold(now time.Time) bool { return s.ColdUntil(now).After(now) }

// Delay implements admission.Pacer: it returns how long until one more request may start,
// if ahead others start first. It is 0 while the server is warm.
func (s *State) Delay(ahead int, now time.Time) time.Duration {
	until := s.ColdUntil(now)
	if !until.After(now) {
		return 0
	}
	delay := max(s.window.delay(ahead, now), s.window.spacing(ahead, now), s.blockedUntil.Sub(now))
	return min(delay, until.Sub(now))
}

// Reserve implements admission.Pacer: one more request may be sent at any moment.
func (s *State) Reserve() { s.window.reserved++ }

// Cancel implements admission.Pacer: a reserved request will not be sent.
func (s *State) Cancel() { s.window.reserved-- }

// Send implements admission.Pacer: a reserved request is sent now. Requests count while
// the server is warm too, since it may become cold at any moment.
func (s *State) Send(now time.Time) {
	s.window.reserved--
	s.window.add(now)
}

// Remove implements admission.Pacer: a request that was sent at the given time did not
// count at the server.
func (s *State) Remove(at time.Time) { s.window.remove(at) }

// InLastSecond returns the number of requests sent in the last second, and of those that
// may be sent at any moment.
func (s *State) InLastSecond(now time.Time) int {
	return s.window.countSince(now.Add(-time.Second)) + s.window.reserved
}
