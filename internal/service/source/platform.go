package source

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/model"
)

// ErrNoValue means that the platform holds no value under a key.
var ErrNoValue = eris.New("no such value")

// ErrHistoryGone means that the platform no longer holds the changes after the
// revision that was asked for.
var ErrHistoryGone = eris.New("the platform dropped the history asked for")

// BusyError means that the platform refused a call for now.
type BusyError struct {
	// RetryAfter is 0 if the platform named no time.
	RetryAfter time.Duration
	Status     string
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("the platform refused the call: %s", e.Status)
}

// KeyListing is the platform's answer to a listing of keys.
type KeyListing struct {
	Revision model.Revision
	Changes  []reading.KeyChange
}

// Value is one value of the platform.
type Value struct {
	Key      model.Key
	Revision model.Revision
	Text     []byte
}

// InstanceListing is the platform's answer to a listing of instances, whose
// revisions are counted apart from those of the values.
type InstanceListing struct {
	Revision model.Revision
	Members  []model.Member
	// InvalidEntries tells which entries name no instance, and why.
	InvalidEntries []error
	// Complete is true if the listing holds all instances, not only those that
	// changed. A listing after revision 0 is always complete.
	Complete bool
}

// Platform reads the platform's configuration service. A listing with a wait
// is held back until something is newer than the revision after.
type Platform interface {
	Keys(ctx context.Context, after model.Revision, wait time.Duration) (KeyListing, error)
	Value(ctx context.Context, key model.Key) (Value, error)
	Instances(ctx context.Context, after model.Revision, wait time.Duration) (InstanceListing, error)
}
