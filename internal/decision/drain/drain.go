// Package drain decides which requests a node that shuts down still accepts, so that
// each of them ends before the node does. It does no I/O and reads no clock.
package drain

import "time"

// Plan is the schedule of a node that shuts down.
type Plan struct {
	// LeadEnd is when callers have learned that the node leaves.
	LeadEnd time.Time
	// End is when every accepted request must have ended.
	End time.Time
}

// NewPlan returns the plan of a drain that begins at now and may take the given time in
// all. The reserve, at most a tenth of it, is left for the exit of the process.
func NewPlan(now time.Time, lead, timeout, reserve time.Duration) Plan {
	const reserveDivisor = 10
	return Plan{LeadEnd: now.Add(lead), End: now.Add(timeout - min(reserve, timeout/reserveDivisor))}
}

// Accepts reports whether a request that arrives at now ends before the node does. That
// is certain if its timeout ends in time. Until LeadEnd, while callers cannot know
// better, it is enough that the longest recent request of its kind took less; longest is
// 0 if there was none.
func (p Plan) Accepts(now time.Time, timeout, longest time.Duration) bool {
	left := p.End.Sub(now)
	if timeout <= left {
		return true
	}
	return longest > 0 && longest <= left && now.Before(p.LeadEnd)
}

// Limit returns the deadline, or End if that is earlier.
func (p Plan) Limit(deadline time.Time) time.Time {
	if deadline.After(p.End) {
		return p.End
	}
	return deadline
}
