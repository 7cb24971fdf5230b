// Package urgency decides for how long an answer is of full use to a caller, and
// whether a caller that is refused can come again. It is pure: no I/O, no clock.
package urgency

import "time"

// Caller is what is known of a request's caller.
type Caller struct {
	// Objective is the time within which answers of the route are of full use,
	// 0 if it has none.
	Objective time.Duration
	// Timeout is the time for which the caller waits for this answer; LongestTimeout is
	// the longest such time that was seen on the route.
	Timeout, LongestTimeout time.Duration
	// RetryAfter is the shortest delay after which a refused caller comes again.
	RetryAfter time.Duration
}

// Urgency ranks a request among others.
type Urgency struct {
	// Useful is the time left in which the answer is of full use.
	Useful time.Duration
	// LastChance is true if a caller that is refused has no time to come again,
	// like the calls of running work. Refusing such a call loses that work too.
	LastChance bool
}

// Of returns the urgency of a request that must be answered within the time
// left. A caller that comes again waits less long than it did at first, so the
// longest wait tells how old its request is.
func Of(c Caller, left time.Duration) Urgency {
	if c.Objective <= 0 {
		return Urgency{Useful: left}
	}
	if c.LongestTimeout > 0 && c.LongestTimeout < c.RetryAfter+c.Objective {
		return Urgency{Useful: left, LastChance: true} // a late answer still serves the caller's work
	}
	age := max(c.LongestTimeout-c.Timeout, 0)
	return Urgency{Useful: min(c.Objective-age, left)}
}
