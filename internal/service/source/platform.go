package source

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
)

// ErrNoValue means that the platform has no value for a key.
var ErrNoValue = eris.New("no such value")

// ErrHistoryGone means that the platform no longer has the changes after the
// requested revision.
var ErrHistoryGone = eris.New("the platform no longer has the requested history")

// BusyError means that the platform refused a call temporarily.
type BusyError struct {
	// RetryAfter is the delay that the platform requested, or 0.
	RetryAfter time.Duration
	// Status is the HTTP status, such as "503 Service Unavailable".
	Status string
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("the platform refused the call: %s", e.Status)
}

// KeyListing is the result of a listing of keys.
type KeyListing struct {
	// Revision is the revision up to which the listing contains all changes.
	Revision model.Revision
	Changes  []platformread.KeyChange
	// EvacuationsAt is the revision of a complete listing of the evacuations, all of which
	// are then in Changes: one that is missing was removed. 0 means that Changes holds only
	// what changed.
	EvacuationsAt model.Revision
}

// Value is one configuration value read from the platform.
type Value struct {
	Key      model.Key
	Revision model.Revision
	Text     []byte
}

// InstanceListing is the result of a listing of instances, whose revisions are
// counted separately from those of the values.
type InstanceListing struct {
	Revision model.Revision
	Members  []model.Member
	// Removed holds the removals of instances of which the platform names only the ID.
	Removed []platformread.Removal
	// InvalidEntries holds an error for each entry that identifies no instance.
	InvalidEntries []error
	// Returned is true if the platform has returned from an older copy of its state since
	// the listing before, so that entries may be missing until they are written again.
	Returned bool
	// Complete is true if the listing contains all instances, not only those that
	// changed.
	Complete bool
	// Partial is true if the listing contains only some of the instances, and the next
	// one continues it. Its revision is 0.
	Partial bool
}

// Platform reads the platform's configuration service. Keys and Instances list the
// changes after a revision. With a wait above 0, they return when there is such a
// change, or once the wait is over.
type Platform interface {
	Keys(ctx context.Context, after model.Revision, wait time.Duration) (KeyListing, error)
	// Value returns ErrNoValue if the platform has no value for the key.
	Value(ctx context.Context, key model.Key) (Value, error)
	Instances(ctx context.Context, after model.Revision, wait time.Duration) (InstanceListing, error)
}
