// Package reading decides how a reader makes a consistent cut from listings and
// single values of the platform, which change while they are read and may come
// from an old copy. It is pure: no I/O, no clock.
package reading

import (
	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// ErrStale marks an answer that is older than what was seen before.
var ErrStale = eris.New("the platform answered from an old copy")

// KeyChange is one entry of a listing of keys.
type KeyChange struct {
	Key      model.Key
	Revision model.Revision
	Deleted  bool
}

// Assembler collects the values of one cut. Start one for each base.
type Assembler struct {
	base model.Cut
	// listed is the revision of the newest listing.
	listed model.Revision
	// latest holds the newest revision that any answer has shown.
	latest model.Revision
	// wanted holds the listed revision of the keys still to be read.
	wanted map[model.Key]model.Revision
	// changed holds what was read or removed since the base.
	changed map[model.Key]*model.Subtree
}

// NewAssembler starts from a known cut; it may be empty.
func NewAssembler(base model.Cut) *Assembler {
	return &Assembler{
		base:    base,
		listed:  base.Revision,
		latest:  base.Revision,
		wanted:  make(map[model.Key]model.Revision),
		changed: make(map[model.Key]*model.Subtree),
	}
}

// After returns the revision after which changes must be listed next.
func (a *Assembler) After() model.Revision { return a.listed }

// AddListing takes in the changes after After. A listing that is older than what
// was seen before is refused with ErrStale.
func (a *Assembler) AddListing(revision model.Revision, changes []KeyChange) error {
	if revision < a.latest {
		return ErrStale
	}
	a.listed, a.latest = revision, revision
	for _, change := range changes {
		a.note(change)
	}
	return nil
}

func (a *Assembler) note(change KeyChange) {
	known := a.changed[change.Key]
	if known == nil {
		known = a.base.Subtrees[change.Key]
	}
	switch {
	case known != nil && known.Revision >= change.Revision:
		return
	case change.Deleted:
		delete(a.wanted, change.Key)
		a.changed[change.Key] = &model.Subtree{Key: change.Key, Revision: change.Revision, Removed: true}
	default:
		a.wanted[change.Key] = change.Revision
	}
}

// Next returns a key whose value must be read.
func (a *Assembler) Next() (model.Key, bool) {
	for key := range a.wanted {
		return key, true
	}
	return "", false
}

// AddValue takes in a value. A value that is older than its listing is refused with
// ErrStale. A value newer than the listing makes another listing necessary.
func (a *Assembler) AddValue(subtree *model.Subtree) error {
	if subtree.Revision < a.wanted[subtree.Key] {
		return ErrStale
	}
	delete(a.wanted, subtree.Key)
	a.changed[subtree.Key] = subtree
	a.latest = max(a.latest, subtree.Revision)
	return nil
}

// AddMissing takes in that a listed value does not exist: it was removed after the
// listing, or the answer comes from an old copy. Either way only a newer listing
// tells, and the key stays wanted.
func (a *Assembler) AddMissing(model.Key) { a.latest = max(a.latest, a.listed+1) }

// NeedsListing reports whether a value newer than the listing was seen.
func (a *Assembler) NeedsListing() bool { return a.latest > a.listed }

// Cut returns the complete cut. It is false while values are missing or newer
// than the listing, or if nothing is newer than the base.
func (a *Assembler) Cut() (model.Cut, bool) {
	if len(a.wanted) > 0 || a.NeedsListing() || a.listed <= a.base.Revision {
		return model.Cut{}, false
	}
	cut := model.Cut{Revision: a.listed, Subtrees: make(map[model.Key]*model.Subtree, len(a.base.Subtrees)+len(a.changed))}
	for key, subtree := range a.base.Subtrees {
		cut.Subtrees[key] = subtree
	}
	for key, subtree := range a.changed {
		cut.Subtrees[key] = subtree
	}
	return cut, true
}
