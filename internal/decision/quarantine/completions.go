package quarantine

import (
	"maps"
	"time"
)

const (
	// completionPeriod is the time for which the completion of a request counts in
	// favour of requests with the same fingerprint.
	completionPeriod = 10 * time.Second
	// maxCompletions is the maximum number of fingerprints in each of the two
	// generations of Completions.
	maxCompletions = 2048
	// crashOverlap is the time before a crash in which a completion shows nothing: the
	// crash is noticed a moment after it, and a response may have been on its way.
	crashOverlap = 100 * time.Millisecond
)

// Completions holds the requests that recently ran to their end at a server while it did
// not crash. It keeps two generations and drops the older one when the newer one is full
// or old. The zero value is empty. It is not safe for concurrent use.
type Completions struct {
	newer, older map[Fingerprint]completion
	// newerSince is the time of the first completion in newer.
	newerSince time.Time
	// crashed is the time of the server's latest crash.
	crashed time.Time
}

// completion holds the times of the first and the latest completion in one generation.
type completion struct{ first, latest time.Time }

// Add records that a request that began at started has run to its end. It reports
// whether that counts: a run during which the server crashed does not.
func (c *Completions) Add(f Fingerprint, started, now time.Time) bool {
	if started.Before(c.crashed) {
		return false
	}
	if c.newer == nil || len(c.newer) >= maxCompletions || now.Sub(c.newerSince) > completionPeriod {
		c.newer, c.older, c.newerSince = make(map[Fingerprint]completion), c.newer, now
	}
	entry, ok := c.newer[f]
	if !ok {
		entry.first = now
	}
	entry.latest = now
	c.newer[f] = entry
	return true
}

// Crashed records a crash of the server. Requests that have run to their end only within
// crashOverlap before it no longer count as completed.
func (c *Completions) Crashed(now time.Time) {
	c.crashed = now
	overlaps := func(_ Fingerprint, entry completion) bool { return now.Sub(entry.first) < crashOverlap }
	maps.DeleteFunc(c.newer, overlaps)
	maps.DeleteFunc(c.older, overlaps)
}

// Recent reports whether a request with the fingerprint ran to its end in the last
// completionPeriod. It may miss some if there were more than maxCompletions others.
func (c *Completions) Recent(f Fingerprint, now time.Time) bool {
	entry, ok := c.newer[f]
	if !ok {
		entry, ok = c.older[f]
	}
	return ok && now.Sub(entry.latest) < completionPeriod
}
