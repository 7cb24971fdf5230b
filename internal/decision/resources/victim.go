package resources

import "time"

// minRetry bounds how often a demand is repeated while holders are being closed.
const minRetry = 50 * time.Millisecond

// makeRoom chooses holders to close until the demand would fit once they are removed.
func (a *Account) makeRoom(h *Holder, bytes int64, connections int, now time.Duration) Decision {
	d := Decision{Retry: now + minRetry}
	for !a.willFit(bytes, connections) {
		victim := a.victim(h, now)
		a.observe(victim == nil, now)
		if victim == nil {
			d.Retry = max(d.Retry, a.noVictimBefore)
			return d
		}
		a.close(victim)
		d.Close = append(d.Close, victim)
	}
	return d
}

func (a *Account) close(h *Holder) {
	h.closing = true
	a.closing++
	a.closingBytes += h.held
}

// willFit reports whether a demand fits once all closing holders are removed.
func (a *Account) willFit(bytes int64, connections int) bool {
	return a.held-a.closingBytes+bytes <= a.requestBytes() &&
		len(a.holders)-a.closing+connections <= a.limits.Connections
}

// victim returns the holder that is worth most to close for the sake of another one, or nil:
// the one that occupies most for longest without progress; only if there is none, the
// one that has been idle for longest.
func (a *Account) victim(except *Holder, now time.Duration) *Holder {
	if now < a.noVictimBefore {
		return nil
	}
	var best *Holder
	var bestScore float64
	next := now + a.limits.Grace
	for _, h := range a.holders {
		if h == except || h.closing || !h.awaitsClient() {
			continue
		}
		until := a.until(h)
		if until >= now {
			next = min(next, until)
			continue
		}
		score := (now - until).Seconds()
		if h.phase != Idle {
			// Every holder that makes no progress comes before those that are idle.
			score = idleScore + score*float64(h.held+a.limits.ConnectionBytes)
		}
		if best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		a.noVictimBefore = next
	}
	return best
}

// awaitsClient reports whether the time without progress passes.
func (h *Holder) awaitsClient() bool {
	switch h.phase {
	case Running:
		return false
	case Body:
		return h.reads+h.writes > 0
	case Response:
		return h.writes > 0
	default:
		return true
	}
}

// idleScore exceeds the score of any idle holder: its idle time in seconds.
const idleScore = 1e9
