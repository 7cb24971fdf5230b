package gate

import (
	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/model"
)

// streams reports whether the body of a call is still arriving while it holds a slot,
// since it is too large to be buffered.
func (c *call) streams() bool {
	return c.r.ContentLength < 0 || c.r.ContentLength > maxBufferedBody
}

// slotClass returns the class whose slots the call may hold. Bodies that are still
// arriving hold at most the slots of long requests: how long one takes is up to its
// client.
func (c *call) slotClass() model.Class {
	if c.streams() {
		return model.ClassLong
	}
	return c.Class
}

// streamSlots returns the number of slots for long requests, by default half of them.
func streamSlots(l admission.Limits) int {
	if l.LongSlots > 0 {
		return l.LongSlots
	}
	return max(1, l.Slots/2)
}
