// Package transfer decides when a node receives the bodies of requests over its link. Bodies
// that arrive at the same time fill the queue of the link, where every small message
// waits behind them: 25 bodies of 60 kB hold up a call with a deadline of 250 ms for
// 1.2 s on a link of 10 Mbit/s. So only a few are received at a time, and the others
// wait at their senders, in order of urgency. The package does no I/O and reads no
// clock. A State is not safe for concurrent use.
package transfer

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// maxQueueDelay is the time for which the bodies in transfer may occupy the link. It
	// bounds how long small messages wait behind them.
	maxQueueDelay = 100 * time.Millisecond
	// usableShare is the share of the bandwidth that is left for bodies beside headers,
	// acknowledgements and small messages.
	usableShare = 0.8
	// A transfer that lasts stallFactor times its expected duration and stallGrace
	// waits for its sender, so that others may begin.
	stallFactor = 3
	stallGrace  = 200 * time.Millisecond
	// maxWaiting bounds the requests that wait for their transfer.
	maxWaiting = 256
)

// Ticket identifies a request from its arrival until its transfer ends.
type Ticket uint64

// Request is a request whose body its sender holds back.
type Request struct {
	Ticket Ticket
	// Bytes is the length of the body.
	Bytes int64
	// Priority orders the requests that wait; 0 is the most urgent. FinalAttempt puts a
	// request before others of its priority.
	Priority     int
	FinalAttempt bool
	// Deadline is the time by which the body must have arrived to be of use.
	Deadline time.Time
	// MaxWait is the longest wait for the link beyond which another server is the
	// better choice; 0 means no limit.
	MaxWait time.Duration
}

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Start means that the body is received now; Finish must follow.
	Start Verdict = iota + 1
	// Wait means that a later call returns the decision, unless Finish withdraws the
	// request.
	Wait
	// Refuse means that the body is not received; its ticket is no longer known.
	Refuse
)

// Decision is the verdict on one request. Reason and RetryAfter are set for Refuse only.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Reason     model.Reason
	RetryAfter time.Duration
}

// active is a transfer in progress that counts until its expiry.
type active struct {
	bytes  int64
	expiry time.Time
}

// State holds the transfers over one link.
type State struct {
	// rate is the number of bytes per second that bodies may use; 0 means no limit.
	rate    float64
	active  map[Ticket]active
	waiting []Request // in order of urgency
}

// New returns the state of a link with a bandwidth in bytes per second; 0 means that all
// transfers start at once.
func New(bandwidth float64) *State {
	return &State{rate: bandwidth * usableShare, active: make(map[Ticket]active)}
}

// Arrive decides on a new request.
func (s *State) Arrive(r Request, now time.Time) Decision {
	if s.rate <= 0 {
		return Decision{Ticket: r.Ticket, Verdict: Start}
	}
	position, _ := slices.BinarySearchFunc(s.waiting, r, compare)
	if position == 0 && s.fits(r.Bytes, now) {
		s.start(r, now)
		return Decision{Ticket: r.Ticket, Verdict: Start}
	}
	wait := s.duration(s.activeBytes(now) + bytesOf(s.waiting[:position]))
	switch {
	case r.MaxWait > 0 && wait > r.MaxWait:
		return refuse(r, model.ReasonBusy, wait)
	case now.Add(wait + s.duration(r.Bytes)).After(r.Deadline):
		return refuse(r, model.ReasonLate, wait)
	case len(s.waiting) >= maxWaiting:
		return refuse(r, model.ReasonQueueFull, wait)
	}
	s.waiting = slices.Insert(s.waiting, position, r)
	return Decision{Ticket: r.Ticket, Verdict: Wait}
}

// Finish ends a transfer or withdraws a waiting request, and returns the decisions that
// follow from it. Unknown tickets are ignored.
func (s *State) Finish(t Ticket, now time.Time) []Decision {
	delete(s.active, t)
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool { return r.Ticket == t })
	return s.Continue(now)
}

// Continue starts or refuses the requests whose time has come. It must be called at the
// time that Next returns.
func (s *State) Continue(now time.Time) []Decision {
	var out []Decision
	for len(s.waiting) > 0 {
		r := s.waiting[0]
		switch {
		case now.Add(s.duration(r.Bytes)).After(r.Deadline):
			out = append(out, refuse(r, model.ReasonLate, 0))
		case s.fits(r.Bytes, now):
			s.start(r, now)
			out = append(out, Decision{Ticket: r.Ticket, Verdict: Start})
		default:
			return out
		}
		s.waiting = s.waiting[1:]
	}
	return out
}

// Next returns the time after now at which Continue must be called although no transfer
// has ended, or false if no request waits.
func (s *State) Next(now time.Time) (time.Time, bool) {
	if len(s.waiting) == 0 {
		return time.Time{}, false
	}
	next := s.waiting[0].Deadline
	for _, a := range s.active {
		if a.expiry.After(now) && a.expiry.Before(next) {
			next = a.expiry
		}
	}
	return next, true
}

// Load returns the number of transfers in progress and of requests that wait.
func (s *State) Load() (active, waiting int) { return len(s.active), len(s.waiting) }

// fits reports whether a body may be received beside those in transfer. One always may.
func (s *State) fits(bytes int64, now time.Time) bool {
	used := s.activeBytes(now)
	return used == 0 || s.duration(used+bytes) <= maxQueueDelay
}

func (s *State) start(r Request, now time.Time) {
	s.active[r.Ticket] = active{bytes: r.Bytes, expiry: now.Add(stallFactor*s.duration(r.Bytes) + stallGrace)}
}

// activeBytes returns the length of the bodies in transfer, without those that wait for
// their senders.
func (s *State) activeBytes(now time.Time) int64 {
	var total int64
	for _, a := range s.active {
		if now.Before(a.expiry) {
			total += a.bytes
		}
	}
	return total
}

// duration returns how long the link takes for a number of bytes.
func (s *State) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / s.rate * float64(time.Second))
}

// compare orders requests by priority; then final attempts precede others; then by
// deadline.
func compare(a, b Request) int {
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case a.FinalAttempt && !b.FinalAttempt:
		return -1
	case b.FinalAttempt && !a.FinalAttempt:
		return 1
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Compare(b.Deadline)
	}
	return cmp.Compare(a.Ticket, b.Ticket)
}

func bytesOf(requests []Request) int64 {
	var total int64
	for _, r := range requests {
		total += r.Bytes
	}
	return total
}

func refuse(r Request, reason model.Reason, retryAfter time.Duration) Decision {
	return Decision{Ticket: r.Ticket, Verdict: Refuse, Reason: reason, RetryAfter: retryAfter}
}
