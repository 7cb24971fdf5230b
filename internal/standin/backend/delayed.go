package backend

import (
	"sync"
	"time"
)

// delayedValue is a value that readers see as it was a fixed time ago. It is safe for
// concurrent use.
type delayedValue[T any] struct {
	lag time.Duration
	mu  sync.Mutex
	// samples are sorted by time. After trim, the first is the one that is visible.
	samples []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

func newDelayedValue[T any](initial T, lag time.Duration) *delayedValue[T] {
	return &delayedValue[T]{lag: lag, samples: []sample[T]{{value: initial}}}
}

func (d *delayedValue[T]) set(value T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.samples = append(d.samples, sample[T]{now, value})
	d.trim(now)
}

func (d *delayedValue[T]) get() T {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trim(time.Now())
	return d.samples[0].value
}

// trim removes every sample whose successor is old enough to be visible.
func (d *delayedValue[T]) trim(now time.Time) {
	visible := now.Add(-d.lag)
	for len(d.samples) > 1 && !d.samples[1].at.After(visible) {
		d.samples = d.samples[1:]
	}
}
