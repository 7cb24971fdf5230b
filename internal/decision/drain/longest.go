package drain

import "time"

// longestWindow is the length of the windows over which Longest takes the maximum.
const longestWindow = 30 * time.Second

// Longest is the longest of recent durations: those of the current window and of the one
// before it. The zero value is empty. It is not safe for concurrent use.
type Longest struct {
	window            int64
	current, previous time.Duration
}

// Observe adds a duration that was measured at now, a time since any fixed moment.
func (l *Longest) Observe(took, now time.Duration) {
	l.advance(now)
	l.current = max(l.current, took)
}

// Value returns the longest duration at now, or 0 if there was none.
func (l *Longest) Value(now time.Duration) time.Duration {
	l.advance(now)
	return max(l.current, l.previous)
}

func (l *Longest) advance(now time.Duration) {
	window := int64(now / longestWindow)
	switch {
	case window == l.window:
		return
	case window == l.window+1:
		l.previous = l.current
	default:
		l.previous = 0
	}
	l.window, l.current = window, 0
}
