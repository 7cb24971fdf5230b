package backend

import (
	"sync"
	"time"
)

// delayedValue tells which value held a fixed time ago.
type delayedValue[T any] struct {
	lag time.Duration
	mu  sync.Mutex
	// samples are in order of time; the first one may be older than the lag.
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

// trim drops the samples that a later one replaced before the lag.
func (d *delayedValue[T]) trim(now time.Time) {
	visible := now.Add(-d.lag)
	for len(d.samples) > 1 && !d.samples[1].at.After(visible) {
		d.samples = d.samples[1:]
	}
}
