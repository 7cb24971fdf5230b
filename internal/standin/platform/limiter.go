package platform

import "time"

// Counters counts the calls to the platform.
type Counters struct {
	// Calls counts all calls, refused ones included.
	Calls uint64 `json:"calls"`
	// Refused counts the calls over the limit.
	Refused uint64 `json:"refused"`
	// HighestPerSecond is the highest number of calls in one second of the clock.
	HighestPerSecond int `json:"highest_per_second"`
}

// limiter limits the calls in each second of the clock. It is not safe for concurrent
// use.
type limiter struct {
	limit    int
	second   int64
	calls    int
	counters Counters
}

// allow counts a call and reports whether it is within the limit.
func (l *limiter) allow(now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.second, l.calls = second, 0
	}
	l.calls++
	l.counters.Calls++
	l.counters.HighestPerSecond = max(l.counters.HighestPerSecond, l.calls)
	if l.calls > l.limit {
		l.counters.Refused++
		return false
	}
	return true
}
