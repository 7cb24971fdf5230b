// Package hedge decides when a request that may be repeated is also sent to a second
// server: after a quantile of the time that requests of its route take now, while slots
// are not short, and within a share of the service's requests. It does no I/O and reads no
// clock; times are arguments and count from any fixed start. Nothing in it is safe for
// concurrent use.
package hedge

import "time"

// Reason is why a request is not hedged. The empty reason means that it is.
type Reason string

// The reasons for which a request is not hedged. The names are those of the metric
// forward_hedges_skipped.
const (
	// CallerLeft means that the caller has closed its connection.
	CallerLeft Reason = "caller-left"
	// Suspect means that an equal request is suspected to crash servers.
	Suspect Reason = "suspect"
	// SlotsShort means that the slots of the service are short, see Pressure.
	SlotsShort Reason = "slots-short"
	// Deadline means that a second server would hardly respond before the deadline.
	Deadline Reason = "deadline"
	// NoGain means that recent hedges of the route were hardly ever faster, see Gain.
	NoGain Reason = "no-gain"
	// NoServer means that no other server is warm and has a free slot.
	NoServer Reason = "no-server"
	// OverLimit means that the share of the service's requests is used up, see Limit.
	OverLimit Reason = "limit"
	// NoToken means that the limits of the mesh leave no arrival for a hedge.
	NoToken Reason = "retry-budget"
	// NoMemory means that there is no room for a second response.
	NoMemory Reason = "memory"
)

// Attempt is a request whose first attempt has not been answered after the delay.
type Attempt struct {
	CallerLeft, Suspect, SlotsShort bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Typical is the median of the time that requests of the route take.
	Typical time.Duration
}

// minTimeLeft is the number of typical durations that must be left until the deadline or the
// objective. With less, the response of a usual server would often come too late.
const minTimeLeft = 1.5

// maxQueueShare is the longest wait of a hedge for a slot, as a share of the time that
// requests typically take. A hedge that is queued behind others is hardly of use. Gates
// refused 2 of 5 hedges that would not wait at all (6 slots, 0.6 of them in use), since the
// load of servers in other failure domains is known from few responses.
const maxQueueShare = 0.25

// MaxQueueWait returns the longest predicted wait for a slot at which a gate accepts a hedge
// of a request that typically takes this long.
func MaxQueueWait(typical time.Duration) time.Duration {
	return time.Duration(maxQueueShare * float64(typical))
}

// Decide returns why the request must not be hedged. It does not consider what a hedge
// uses up: the limits, a server's slot and memory.
func Decide(a Attempt) Reason {
	switch {
	case a.CallerLeft:
		return CallerLeft
	case a.Suspect:
		return Suspect
	case a.SlotsShort:
		return SlotsShort
	case float64(a.TimeLeft) < minTimeLeft*float64(a.Typical):
		return Deadline
	}
	return ""
}
