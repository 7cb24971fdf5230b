package quarantine

import "time"

const (
	// completionPeriod is the time for which the completion of a request counts in
	// favour of requests with the same fingerprint.
	completionPeriod = 10 * time.Second
	// maxCompletions is the maximum number of fingerprints in each of the two
	// generations of Completions.
	maxCompletions = 2048
)

// Completions holds the requests that recently ran to their end at a server. It keeps
// two generations and drops the older one when the newer one is full or old. The zero
// value is empty. It is not safe for concurrent use.
type Completions struct {
	newer, older map[Fingerprint]time.Time
	// newerSince is the time of the first completion in newer.
	newerSince time.Time
}

// Add records that a request has run to its end.
func (c *Completions) Add(f Fingerprint, now time.Time) {
	if c.newer == nil || len(c.newer) >= maxCompletions || now.Sub(c.newerSince) > completionPeriod {
		c.newer, c.older, c.newerSince = make(map[Fingerprint]time.Time), c.newer, now
	}
	c.newer[f] = now
}

// Recent reports whether a request with the fingerprint ran to its end in the last
// completionPeriod. It may miss some if there were more than maxCompletions others.
func (c *Completions) Recent(f Fingerprint, now time.Time) bool {
	at, ok := c.newer[f]
	if !ok {
		at, ok = c.older[f]
	}
	return ok && now.Sub(at) < completionPeriod
}
