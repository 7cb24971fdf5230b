// Package drain decides which requests a node that shuts down still accepts, so that
// each of them ends before the node does. It does no I/O and reads no clock.
package drain

import "time"

// Plan is the schedule of a node that shuts down.
type Plan struct {
	// EstimateEnd is the time until which the usual time of a request decides whether it
	// is accepted, because callers have not learned yet that the node leaves.
	EstimateEnd time.Time
	// End is when every accepted request must have ended.
	End time.Time
	// CloseBy is when the connections of callers must be closed.
	CloseBy time.Time
}

const (
	// maxReserve and reserveDivisor limit the part of a drain that is left for the exit
	// of the process. One half of it is for the connections of callers, the other one
	// for the services that stop after them.
	maxReserve     = 400 * time.Millisecond
	reserveDivisor = 10
)

// NewPlan returns the plan of a drain that begins at now and may take the given time in
// all. Callers learn within the lead that the node leaves. Without a lead, estimates count
// for half of the drain, since the work that runs on the node's server makes calls.
func NewPlan(now time.Time, lead, timeout time.Duration) Plan {
	if lead <= 0 {
		lead = timeout / 2
	}
	reserve := min(maxReserve, timeout/reserveDivisor)
	return Plan{
		EstimateEnd: now.Add(lead),
		End:         now.Add(timeout - reserve),
		CloseBy:     now.Add(timeout - reserve/2),
	}
}

// Fits reports whether a request with the given deadline ends before the node does.
func (p Plan) Fits(deadline time.Time) bool { return !deadline.After(p.End) }

// maxTolerance limits Plan.Tolerance.
const maxTolerance = 50 * time.Millisecond

// Tolerance is how long after End an accepted request may still run. It allows for the
// transit time of a request whose deadline was limited to End, and leaves half of the
// time until CloseBy.
func (p Plan) Tolerance() time.Duration { return max(0, min(maxTolerance, p.CloseBy.Sub(p.End)/2)) }

// FitsLate reports whether a request with the given deadline ends before the node does, or
// within Tolerance after End.
func (p Plan) FitsLate(deadline time.Time) bool { return p.Fits(deadline.Add(-p.Tolerance())) }

// coldFactor is how many times as long a request may take at a cold server, which is about
// half as fast.
const coldFactor = 2

// Estimate is what is known of the time that the requests of a kind take.
type Estimate struct {
	// Longest is the longest recent time, 0 if there was no request.
	Longest time.Duration
	// Cold is true if one of the servers that may run the request is cold.
	Cold bool
}

// limit returns the longest time that a request is assumed to take, 0 if it is unknown.
func (e Estimate) limit() time.Duration {
	if e.Cold {
		return coldFactor * e.Longest
	}
	return e.Longest
}

// Accepts reports whether a request that arrives at now, with the given deadline, ends
// before the node does, as far as the node can tell. Until EstimateEnd it is enough that
// the estimate is shorter than the time that is left.
func (p Plan) Accepts(now, deadline time.Time, e Estimate) bool {
	longest := e.limit()
	return p.Fits(deadline) || longest > 0 && longest <= p.End.Sub(now) && now.Before(p.EstimateEnd)
}

// Limit returns the deadline, or End if that is earlier.
func (p Plan) Limit(deadline time.Time) time.Time {
	if p.Fits(deadline) {
		return deadline
	}
	return p.End
}
