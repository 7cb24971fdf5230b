package transfer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBacklog is the time for which the link may be occupied by what has been given to
	// it when a further chunk is sent. It bounds how long small messages wait behind bodies.
	maxBacklog = 50 * time.Millisecond
	// outgoingShare is the share of the bandwidth at which chunks are sent; the rest is
	// for headers, requests and small messages. At 0.9 the queue of links of 21 Mbit/s
	// still held up messages for 0.2 s.
	outgoingShare = 0.75
)

// Chunk is a piece of a body that is about to be sent.
type Chunk struct {
	Ticket Ticket
	Bytes  int
	// Priority orders the chunks that wait; 0 is the most urgent. Chunks of equal priority
	// are ordered by Deadline, so that those who were first complete first.
	Priority int
	// Deadline is the time from which the chunk no longer waits: a response that the server
	// has produced is delivered even if it is late.
	Deadline time.Time
}

// Outgoing holds the chunks that wait for a node's link. It models the queue of the link
// from the bytes given to it, since a connection accepts more bytes than the link has sent.
type Outgoing struct {
	// rate is the number of bytes per second; 0 means no limit.
	rate float64
	// freeAt is when the link will have sent everything that it was given.
	freeAt  time.Time
	waiting []Chunk // in order of urgency
}

// NewOutgoing returns the state of an idle link with a bandwidth in bytes per second; 0
// means that no chunk waits.
func NewOutgoing(bandwidth float64) *Outgoing { return &Outgoing{rate: bandwidth * outgoingShare} }

// Arrive reports whether a chunk is sent at once. Otherwise it waits until Continue returns
// its ticket, or Withdraw removes it.
func (o *Outgoing) Arrive(c Chunk, now time.Time) bool {
	if o.rate <= 0 {
		return true
	}
	position, _ := slices.BinarySearchFunc(o.waiting, c, compareChunks)
	if position == 0 && o.Backlog(now) <= maxBacklog || !now.Before(c.Deadline) {
		o.send(c, now)
		return true
	}
	o.waiting = slices.Insert(o.waiting, position, c)
	return false
}

// Continue returns the chunks that are sent now. It must be called at the time that Next
// returns.
func (o *Outgoing) Continue(now time.Time) []Ticket {
	var sent []Ticket
	o.waiting = slices.DeleteFunc(o.waiting, func(c Chunk) bool {
		if o.Backlog(now) > maxBacklog && now.Before(c.Deadline) {
			return false
		}
		o.send(c, now)
		sent = append(sent, c.Ticket)
		return true
	})
	return sent
}

// Withdraw removes a chunk that waits.
func (o *Outgoing) Withdraw(t Ticket) {
	o.waiting = slices.DeleteFunc(o.waiting, func(c Chunk) bool { return c.Ticket == t })
}

// Next returns the time at which Continue must be called, or false if no chunk waits.
func (o *Outgoing) Next() (time.Time, bool) {
	if len(o.waiting) == 0 {
		return time.Time{}, false
	}
	next := o.freeAt.Add(-maxBacklog)
	for _, c := range o.waiting {
		if c.Deadline.Before(next) {
			next = c.Deadline
		}
	}
	return next, true
}

// Backlog returns how long the link still needs for what it was given.
func (o *Outgoing) Backlog(now time.Time) time.Duration { return max(o.freeAt.Sub(now), 0) }

// Waiting returns the number of chunks that wait.
func (o *Outgoing) Waiting() int { return len(o.waiting) }

func (o *Outgoing) send(c Chunk, now time.Time) {
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	o.freeAt = o.freeAt.Add(time.Duration(float64(c.Bytes) / o.rate * float64(time.Second)))
}

func compareChunks(a, b Chunk) int {
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Compare(b.Deadline)
	}
	return cmp.Compare(a.Ticket, b.Ticket)
}
