package resources

import "time"

const (
	// minGrace is the shortest grace in a shortage: some round trips between failure
	// domains, or one to most callers.
	minGrace = 125 * time.Millisecond
	// windowGraces is the time over which waits are added up, in graces.
	windowGraces = 2
)

// shortage shortens the grace while demands wait and no holder may be closed for them.
// Otherwise ordinary callers wait behind a flood of connections, each of which lasts for
// the whole grace, until their deadlines have passed.
type shortage struct {
	// halfFull is when the number of connections last rose over half of the limit.
	halfFull time.Duration
	// halvings is how often the grace is halved.
	halvings int
	// begin is when the present window began, and waited how long demands have waited
	// in it.
	begin, waited time.Duration
	// waiting is whether a demand waited at the time seen.
	waiting bool
	seen    time.Duration
}

// observe records whether a demand waits from now on. The grace is halved each time
// that demands have waited for longer than the present one, and doubled after each window
// in which they waited for less than half of it.
func (a *Account) observe(waiting bool, now time.Duration) {
	s, grace := &a.shortage, max(a.limits.Grace, minGrace)
	if windows := int((now - s.begin) / (windowGraces * grace)); windows > 0 {
		if s.waited >= grace>>(s.halvings+1) {
			windows--
		}
		s.halvings = max(0, s.halvings-windows)
		s.begin, s.waited = now, 0
	}
	if s.waiting && now-s.seen <= grace { // otherwise the demand was given up
		s.waited += now - s.seen
	}
	s.waiting, s.seen = waiting, now
	// A crowd is known by the time in which it takes the second half of the connections.
	crowd := a.limits.Prompt && waiting && s.halvings == 0 && now-s.halfFull < grace/4
	if grace>>s.halvings > minGrace && (s.waited > grace>>s.halvings || crowd) {
		s.halvings++
		s.begin, s.waited = now, 0
		a.noVictimBefore = 0
	}
}

// until returns the time until which a holder is not closed for others. Steady ones and
// those that are used again keep their grace: a hostile client gains nothing but the full
// grace from that. The grace of idle connections that is longer than that of requests is
// kept, too: clients rely on it when they reuse a connection.
func (a *Account) until(h *Holder) time.Duration {
	grace := a.grace(h.phase)
	if h.steady || h.requests > 1 || h.phase == Idle && grace > a.limits.Grace {
		return h.currentUntil
	}
	return h.currentUntil - grace + max(grace>>a.shortage.halvings, min(grace, minGrace))
}
