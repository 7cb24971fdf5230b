package rank

import (
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/model"
)

// exclusionPolicy bounds how long a node that failed is left out.
var exclusionPolicy = backoff.Policy{Base: 5 * time.Second, Max: 2 * time.Minute}

// Exclusions remembers which nodes failed to answer this one. It is evidence of
// this node alone and is not told to others.
type Exclusions struct {
	byID map[model.InstanceID]exclusion
}

type exclusion struct {
	failures int
	until    time.Time
}

// NewExclusions returns an empty set.
func NewExclusions() *Exclusions {
	return &Exclusions{byID: make(map[model.InstanceID]exclusion)}
}

// Fail excludes a node that did not answer, for longer after each failure, and
// returns the end of the exclusion.
func (e *Exclusions) Fail(id model.InstanceID, now time.Time, rng *rand.Rand) time.Time {
	x := e.byID[id]
	x.failures++
	x.until = now.Add(exclusionPolicy.Delay(x.failures, rng))
	e.byID[id] = x
	return x.until
}

// Refuse excludes a node that answered but asked to be left alone until a time.
func (e *Exclusions) Refuse(id model.InstanceID, until time.Time) {
	x := e.byID[id]
	x.until = until
	e.byID[id] = x
}

// Restore forgets the failures of a node that answered.
func (e *Exclusions) Restore(id model.InstanceID) { delete(e.byID, id) }

// Clear forgets all failures.
func (e *Exclusions) Clear() { clear(e.byID) }

// At returns the set as of a time.
func (e *Exclusions) At(now time.Time) Excluded {
	return func(id model.InstanceID) bool {
		x, ok := e.byID[id]
		return ok && now.Before(x.until)
	}
}
