package exchange

// slots is a semaphore that bounds concurrent operations.
type slots chan struct{}

func newSlots(n int) slots { return make(slots, n) }

// tryAcquire acquires a slot without blocking and reports whether one was free.
func (s slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) release() { <-s }
