// Package transit decides how long messages were held up on their way. It is
// pure: no I/O, no clock.
package transit

import "time"

// maxSenders bounds the remembered processes. Beyond it all are forgotten, and the
// next message of each counts as one that was not held up.
const maxSenders = 4096

// Delays compares messages with the fastest one of the same sender, so that the
// clocks of two machines need not agree, only run equally fast. The zero value
// knows no sender. It is not safe for concurrent use.
type Delays struct {
	// fastest holds, for each sending process, the least difference between the
	// time of arrival here and the time of sending there.
	fastest map[uint64]time.Duration
}

// Observe takes in a message that a process sent at a time since its own start and
// that arrived at a time since the start of this one. It returns by how much longer
// the message was under way than the fastest one of its sender. A sender of 0 is
// not known.
func (d *Delays) Observe(sender uint64, sent, arrived time.Duration) time.Duration {
	if sender == 0 {
		return 0
	}
	offset := arrived - sent
	fastest, known := d.fastest[sender]
	if known && offset >= fastest {
		return offset - fastest
	}
	if !known && len(d.fastest) >= maxSenders {
		clear(d.fastest)
	}
	if d.fastest == nil {
		d.fastest = make(map[uint64]time.Duration)
	}
	d.fastest[sender] = offset
	return 0
}
