// Package clock abstracts time so that services and decisions run on a fake
// clock in tests.
package clock

import "time"

// Clock returns the current time and starts timers. Implementations are safe for
// concurrent use.
type Clock interface {
	// Now returns the current time; differences of two results are monotonic.
	Now() time.Time
	// AfterFunc runs f in its own goroutine (or, for a fake clock, in the
	// goroutine that advances it) once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call started by AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it did so before the call began.
	Stop() bool
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
