package rank

import (
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/model"
)

// exclusionPolicy sets how long a node that did not respond is excluded.
var exclusionPolicy = backoff.Policy{Base: 5 * time.Second, Max: 2 * time.Minute}

// Exclusions records which nodes this one excludes from polls and announcements, by its
// own observations only. It is not safe for concurrent use.
type Exclusions struct {
	byID map[model.InstanceID]exclusion
}

type exclusion struct {
	failures int
	// silentUntil and busyUntil are the ends of the two kinds of exclusion.
	silentUntil time.Time
	busyUntil   time.Time
}

// NewExclusions returns an empty set.
func NewExclusions() *Exclusions {
	return &Exclusions{byID: make(map[model.InstanceID]exclusion)}
}

// Evidence is what a node has observed of other nodes' ability to serve it.
type Evidence struct {
	// Silent reports whether a node did not respond; others replace it.
	Silent Excluded
	// Busy reports whether a node responded but cannot serve yet. It still counts in
	// the order, but another one is polled meanwhile. While a whole failure domain
	// starts, all of its nodes are busy; if they did not count, all would be readers.
	Busy Excluded
}

// NoFailures is the evidence of a node that has seen no failure.
func NoFailures() Evidence { return Evidence{Silent: None, Busy: None} }

// MarkSilent excludes a node that did not respond, for longer after each failure, and
// returns the end of the exclusion.
func (e *Exclusions) MarkSilent(id model.InstanceID, now time.Time, rng *rand.Rand) time.Time {
	x := e.byID[id]
	x.failures++
	x.silentUntil = now.Add(exclusionPolicy.Delay(x.failures, rng))
	e.byID[id] = x
	return x.silentUntil
}

// MarkBusy excludes a node that responded but must not be polled before the given time.
func (e *Exclusions) MarkBusy(id model.InstanceID, until time.Time) {
	x := e.byID[id]
	x.busyUntil = until
	e.byID[id] = x
}

// Restore removes the exclusions and failures of a node.
func (e *Exclusions) Restore(id model.InstanceID) { delete(e.byID, id) }

// Clear removes all exclusions and failures.
func (e *Exclusions) Clear() { clear(e.byID) }

// At returns the evidence at a time. It reflects later changes of the exclusions.
func (e *Exclusions) At(now time.Time) Evidence {
	return Evidence{
		Silent: func(id model.InstanceID) bool { return now.Before(e.byID[id].silentUntil) },
		Busy:   func(id model.InstanceID) bool { return now.Before(e.byID[id].busyUntil) },
	}
}
