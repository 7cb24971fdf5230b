// Package onewaydelay estimates the one-way delay of messages. It does no I/O and reads
// no clock.
package onewaydelay

import "time"

// maxSenders is the maximum number of remembered senders. A further one clears the
// others, whose next messages then count as not delayed.
const maxSenders = 4096

// window is the length of the periods over which the fastest message is determined. It is
// longer than queues of a link last, and bounds for how long all messages of a sender
// count as delayed after one of the two clocks has stood still, as in a suspended machine.
const window = time.Minute

// Estimator estimates the one-way delay of messages relative to the fastest one of the
// same sender in the current window and the one before it, so the clocks of two machines
// need not be synchronised, only run at the same rate. The zero value is ready to use. It is
// not safe for concurrent use.
type Estimator struct {
	senders map[uint64]offsets
}

// offsets holds, for a sending process, the minimum difference between the arrival time
// at this process and the sending time at that one, in two windows.
type offsets struct {
	// since is the arrival time of the first message of the current window.
	since             time.Duration
	current, previous time.Duration
}

// fastest returns the offset of the fastest message.
func (o offsets) fastest() time.Duration { return min(o.current, o.previous) }

// advance begins a new window with a message if the current one is over.
func (o offsets) advance(offset, arrived time.Duration) offsets {
	switch age := arrived - o.since; {
	case age < window:
		return o
	case age < 2*window:
		return offsets{since: arrived, current: offset, previous: o.current}
	default:
		return offsets{since: arrived, current: offset, previous: offset}
	}
}

// Observe records a message and returns by how much its one-way delay exceeds that of
// the fastest one of its sender. sent is the time since the start of the sending
// process, arrived the time since the start of this one. A sender of 0 is unknown;
// the delay is then 0.
func (e *Estimator) Observe(sender uint64, sent, arrived time.Duration) time.Duration {
	if sender == 0 {
		return 0
	}
	offset := arrived - sent
	o, known := e.senders[sender]
	if !known {
		if len(e.senders) >= maxSenders {
			clear(e.senders)
		}
		o = offsets{since: arrived, current: offset, previous: offset}
	}
	o = o.advance(offset, arrived)
	o.current = min(o.current, offset)
	if e.senders == nil {
		e.senders = make(map[uint64]offsets)
	}
	e.senders[sender] = o
	return offset - o.fastest()
}
