// Package onewaydelay estimates the one-way delay of messages. It does no I/O and reads
// no clock.
package onewaydelay

import "time"

// maxSenders is the maximum number of remembered senders. A further one clears the
// others, whose next messages then count as not delayed.
const maxSenders = 4096

// Estimator estimates the one-way delay of messages relative to the fastest one of the
// same sender, so the clocks of two machines need not be synchronised, only run at
// the same rate. The zero value is ready to use. It is not safe for concurrent use.
type Estimator struct {
	// fastest holds, for each sending process, the minimum difference between the
	// arrival time at this process and the sending time at that one.
	fastest map[uint64]time.Duration
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
	fastest, known := e.fastest[sender]
	if known && offset >= fastest {
		return offset - fastest
	}
	if !known && len(e.fastest) >= maxSenders {
		clear(e.fastest)
	}
	if e.fastest == nil {
		e.fastest = make(map[uint64]time.Duration)
	}
	e.fastest[sender] = offset
	return 0
}
