// Package retryafter decides after what delay a refused caller is asked to come again. It
// does no I/O and reads no clock; random numbers are arguments.
package retryafter

import "time"

const (
	// Minimum is the shortest delay after a refusal for lack of capacity. Load changes over
	// seconds, so a caller that retries sooner meets the same overload.
	Minimum = 400 * time.Millisecond
	// faultFrom and faultTo bound the delay after a refusal that does not come from load,
	// such as that of a server that rejects part of its requests at random. The next
	// attempt may succeed, and a longer delay would spend the latency objective.
	faultFrom = 20 * time.Millisecond
	faultTo   = 100 * time.Millisecond
	// unknownFrom and unknownTo bound the delay if it is not known when there will be
	// capacity.
	unknownFrom = 500 * time.Millisecond
	unknownTo   = time.Second
	// maxSpan bounds the time over which the retries are spread. After more than a
	// second few callers still have use for the response.
	maxSpan = time.Second
	// timeLeftShare is the part of the time left, as a divisor, up to which callers honor
	// a delay.
	timeLeftShare = 3
	// lateHalfFrom is the priority from which callers get the second half of the span.
	lateHalfFrom = 2
)

// Refusal describes a refused request.
type Refusal struct {
	// Fault is true if a server or a connection failed and load was not the reason.
	Fault bool
	// Capacity is when the gate expects capacity; 0 means unknown.
	Capacity time.Duration
	// TimeLeft is how long the caller still waits; 0 means unknown.
	TimeLeft time.Duration
	// Priority is that of the route; 0 is the most urgent.
	Priority int
}

// Delay returns the delay for a refused request; random is uniformly distributed over
// [0, 1). Callers that were refused together get different delays, and less urgent ones
// the later part of the span, so that they do not return in one wave.
func Delay(r Refusal, random float64) time.Duration {
	from, to := span(r)
	const half = 0.5
	offset := half * float64(min(max(r.Priority, 0), lateHalfFrom)) / lateHalfFrom
	return from + time.Duration((offset+half*random)*float64(to-from))
}

// span returns the span of the delays. After a refusal for lack of capacity its end is at
// least Minimum and, beyond that, at most what the caller honors.
func span(r Refusal) (from, to time.Duration) {
	if r.Fault {
		return faultFrom, faultTo
	}
	from, to = unknownFrom, unknownTo
	if r.Capacity > 0 {
		from = max(r.Capacity, Minimum)
		to = from + min(from, maxSpan)
	}
	if honored := r.TimeLeft / timeLeftShare; r.TimeLeft > 0 && honored < to {
		to = max(honored, Minimum)
		if from >= to { // the caller returns before there is capacity, but not with all others
			from = max(to/2, Minimum)
		}
	}
	return from, to
}

// Honored reports whether a caller can come again after the delay and still honors it.
func Honored(delay, timeLeft time.Duration) bool {
	return delay > 0 && delay <= timeLeft/timeLeftShare
}
