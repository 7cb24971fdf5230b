package kernel

import (
	"context"
	"sync/atomic"
)

// Snapshot publishes the current immutable value of some control state. The
// control goroutine stores it; any goroutine loads or watches it without locks.
type Snapshot[T any] struct {
	current atomic.Pointer[version[T]]
}

type version[T any] struct {
	value   T
	changed chan struct{}
}

// NewSnapshot returns a snapshot that holds initial.
func NewSnapshot[T any](initial T) *Snapshot[T] {
	s := &Snapshot[T]{}
	s.current.Store(&version[T]{value: initial, changed: make(chan struct{})})
	return s
}

// Load returns the current value, which must not be modified.
func (s *Snapshot[T]) Load() T { return s.current.Load().value }

// Watch returns the current value and a channel that is closed when a newer one
// has been stored.
func (s *Snapshot[T]) Watch() (T, <-chan struct{}) {
	v := s.current.Load()
	return v.value, v.changed
}

// AwaitWhile waits until keepWaiting returns false for the current value or the
// context ends, and returns the context's error.
func (s *Snapshot[T]) AwaitWhile(ctx context.Context, keepWaiting func(T) bool) error {
	for {
		value, changed := s.Watch()
		if !keepWaiting(value) || ctx.Err() != nil {
			return ctx.Err()
		}
		_ = Await(ctx, changed) // the loop checks the context
	}
}

// Store publishes a new value and wakes the watchers. Only the owner, on the
// control goroutine, may call it.
func (s *Snapshot[T]) Store(value T) {
	next := &version[T]{value: value, changed: make(chan struct{})}
	old := s.current.Swap(next)
	close(old.changed)
}
