package hedge

import "time"

const (
	// limitBuckets is the number of parts of the window of a Limit.
	limitBuckets = 20
	// burstShare is the share of a window's hedges that may start at once, so that a
	// moment in which all servers are slow does not use up what the window allows.
	burstShare = 0.3
)

// Limit bounds the hedges of one service's requests at one node. In any window that ends
// with a hedge, hedges are at most the given share of the requests. In any other window as
// many more are possible as requests in it have not come yet, at most burstShare of the
// hedges of a window, and one.
type Limit struct {
	share float64
	part  time.Duration // length of a bucket
	epoch int64         // of the newest bucket, since the start of time
	// tokens is at most capacity, which follows the number of requests.
	tokens, capacity float64
	// buckets has one more part than the window, since the oldest one is only in part
	// within the window: its hedges count, its requests do not.
	buckets [limitBuckets + 1]limitBucket
}

type limitBucket struct {
	epoch            int64
	requests, hedges int
}

// NewLimit returns a limit of percent hedges for 100 requests over the window.
func NewLimit(percent int, window time.Duration) *Limit {
	const hundred = 100
	l := &Limit{share: float64(percent) / hundred, part: max(window/limitBuckets, 1)}
	for i := range l.buckets {
		l.buckets[i].epoch = -1
	}
	return l
}

// Request counts a request.
func (l *Limit) Request(now time.Duration) {
	l.bucket(now).requests++
	requests, _ := l.count()
	l.capacity = max(1, float64(requests)*l.share*burstShare)
	l.tokens = min(l.tokens+l.share, l.capacity)
}

// Available reports whether a hedge is within the limit.
func (l *Limit) Available(now time.Duration) bool {
	l.bucket(now)
	requests, hedges := l.count()
	const rounding = 1e-9 // of sums of shares
	return l.tokens >= 1-rounding && float64(hedges+1) <= float64(requests)*l.share+rounding
}

// scarceShare is the share of the hedges that may start at once below which they are scarce.
const scarceShare = 0.8

// Scarce reports whether hedges are left only for the requests that need one most.
func (l *Limit) Scarce() bool { return l.tokens < l.capacity*scarceShare }

// Withdraw counts a hedge if it is within the limit, and reports whether it is.
func (l *Limit) Withdraw(now time.Duration) bool {
	if !l.Available(now) {
		return false
	}
	l.tokens = max(l.tokens-1, 0)
	l.bucket(now).hedges++
	return true
}

// Hedges returns the numbers of requests and hedges in the window.
func (l *Limit) Hedges(now time.Duration) (requests, hedges int) {
	l.bucket(now)
	return l.count()
}

// count returns the requests that are surely within the window and the hedges that may be.
func (l *Limit) count() (requests, hedges int) {
	for _, b := range l.buckets {
		if b.epoch < 0 || b.epoch < l.epoch-limitBuckets {
			continue
		}
		hedges += b.hedges
		if b.epoch > l.epoch-limitBuckets {
			requests += b.requests
		}
	}
	return requests, hedges
}

// bucket returns the bucket of the current time.
func (l *Limit) bucket(now time.Duration) *limitBucket {
	l.epoch = max(l.epoch, int64(now/l.part))
	b := &l.buckets[l.epoch%int64(len(l.buckets))]
	if b.epoch != l.epoch {
		*b = limitBucket{epoch: l.epoch}
	}
	return b
}
