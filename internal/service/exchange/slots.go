package exchange

// slots bounds how many goroutines do something at a time.
type slots chan struct{}

func newSlots(n int) slots { return make(slots, n) }

// tryAcquire takes a slot if one is free and reports whether it did.
func (s slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) release() { <-s }
