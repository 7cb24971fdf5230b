package warmup

import "time"

// Window is the time in which requests are counted. It is longer than the second of the
// bound, since a server may receive two requests closer to each other than they were sent.
const Window = 1050 * time.Millisecond

// unspaced is the number of requests that may be sent before they are due. Without
// spacing a server that returns uses up its window in 0.6 s and refuses all requests of the
// next 0.4 s, and all servers that returned together do so at the same time. With 1 or 2
// instead of 4, fewer of the requests that arrive in clusters are served.
const unspaced = 4

// window is the log of the latest requests that were sent to the server. It is exact: a
// token bucket would admit twice as many within the second around a boundary.
type window struct {
	// limit is the largest number of requests in the window.
	limit int
	// sent holds the times of the latest requests in order, at least the last limit ones.
	sent []time.Time
	// due is when the next request is due if all are spaced evenly.
	due time.Time
	// reserved is the number of requests that may be sent at any moment.
	reserved int
}

// add records a request that is sent now.
func (w *window) add(now time.Time) {
	if len(w.sent) >= 2*w.limit {
		w.sent = w.sent[:copy(w.sent, w.sent[len(w.sent)-w.limit:])]
	}
	w.sent = append(w.sent, now)
	w.due = later(w.due, now).Add(w.interval())
	if latest := now.Add(Window); w.due.After(latest) {
		w.due = latest // a warm server receives more
	}
}

// remove removes the latest request that was sent at the given time.
func (w *window) remove(at time.Time) {
	for i := len(w.sent) - 1; i >= 0 && !w.sent[i].Before(at); i-- {
		if w.sent[i].Equal(at) {
			w.sent = append(w.sent[:i], w.sent[i+1:]...)
			return
		}
	}
}

// interval returns the time between requests that are spaced evenly.
func (w *window) interval() time.Duration { return Window / time.Duration(w.limit) }

// spacing returns how long until one more request may be sent behind ahead others, so that
// no more than unspaced ones are sent before they are due.
func (w *window) spacing(ahead int, now time.Time) time.Duration {
	return max(later(w.due, now).Sub(now)+time.Duration(w.reserved+ahead-unspaced)*w.interval(), 0)
}

// delay returns how long until one more request may be sent, if ahead others are sent
// first, each as soon as possible. Reserved requests count as sent now.
func (w *window) delay(ahead int, now time.Time) time.Duration {
	known := len(w.sent) + w.reserved
	// The request may be sent once this many of the known ones, the oldest first, and
	// of those ahead have left the window.
	leaving := known + ahead + 1 - w.limit
	var cycles time.Duration
	if beyond := leaving - known; beyond > 0 {
		n := (beyond + w.limit - 1) / w.limit
		leaving -= n * w.limit
		cycles = time.Duration(n) * Window
	}
	switch {
	case leaving <= 0:
		return cycles
	case leaving > len(w.sent):
		return cycles + Window
	default:
		return cycles + max(w.sent[leaving-1].Add(Window).Sub(now), 0)
	}
}

// countSince returns the number of requests sent after the given time.
func (w *window) countSince(t time.Time) int {
	n := 0
	for i := len(w.sent) - 1; i >= 0 && w.sent[i].After(t); i-- {
		n++
	}
	return n
}
