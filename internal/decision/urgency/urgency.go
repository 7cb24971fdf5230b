// Package urgency decides how much time a request has left to meet its latency
// objective, and whether its caller can retry if it is refused. It does no I/O and
// reads no clock.
package urgency

import "time"

// Caller describes the caller of a request.
type Caller struct {
	// Objective is the latency objective of the route, 0 if it has none.
	Objective time.Duration
	// Timeout is how long the caller waits for this response. LongestTimeout is the
	// longest Timeout seen on the route so far. Both are 0 if Timeout is unknown.
	Timeout, LongestTimeout time.Duration
	// RetryAfter is the minimum delay before a refused caller retries.
	RetryAfter time.Duration
}

// Urgency holds the properties of a request that determine its order in a queue.
type Urgency struct {
	// SoftTimeout is the time left to meet the latency objective, negative if it has
	// passed. Without an objective, or with FinalAttempt, it is the time left until
	// the deadline.
	SoftTimeout time.Duration
	// FinalAttempt is true if the caller has no time left to retry when refused, as
	// is typical of calls that a running request makes. Refusing such a call also
	// loses the work of that request.
	FinalAttempt bool
}

// Estimate returns the urgency of a request with the given time left until its deadline.
// If even the longest timeout is too short to wait RetryAfter and then get a response
// within the objective, the attempt is final. Otherwise a caller uses a shorter timeout
// for each retry, so the difference to the longest timeout is the time since its first
// attempt.
func Estimate(c Caller, left time.Duration) Urgency {
	if c.Objective <= 0 {
		return Urgency{SoftTimeout: left}
	}
	if c.LongestTimeout > 0 && c.LongestTimeout < c.RetryAfter+c.Objective {
		return Urgency{SoftTimeout: left, FinalAttempt: true} // the caller can still use a late response
	}
	age := max(c.LongestTimeout-c.Timeout, 0)
	return Urgency{SoftTimeout: min(c.Objective-age, left)}
}
