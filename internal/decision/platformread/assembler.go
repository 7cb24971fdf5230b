// Package platformread assembles consistent cuts from key listings and single values of
// the platform, which change while they are read and may come from a stale copy.
// It also decides which instances the platform has removed. The package does no I/O
// and reads no clock.
package platformread

import (
	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// ErrStale marks a response of the platform that is older than an earlier one.
var ErrStale = eris.New("the platform answered from an old copy")

// KeyChange is one entry of a key listing: the newest change of a key.
type KeyChange struct {
	Key      model.Key
	Revision model.Revision
	Deleted  bool
}

// Assembler collects the listings and values of one cut. Each base needs a new
// assembler.
type Assembler struct {
	base model.Cut
	// listed is the revision of the newest listing.
	listed model.Revision
	// latest is the least revision of the next listing: the newest revision of any
	// response, or a later one after [Assembler.AddMissing].
	latest model.Revision
	// wanted maps the keys whose value must still be read to their listed revision.
	wanted map[model.Key]model.Revision
	// changed holds the subtrees that were read or removed since the base.
	changed map[model.Key]*model.Subtree
}

// NewAssembler returns an assembler for a cut newer than base, which may be empty.
func NewAssembler(base model.Cut) *Assembler {
	return &Assembler{
		base:    base,
		listed:  base.Revision,
		latest:  base.Revision,
		wanted:  make(map[model.Key]model.Revision),
		changed: make(map[model.Key]*model.Subtree),
	}
}

// After returns the revision after which the next listing must contain all changes.
func (a *Assembler) After() model.Revision { return a.listed }

// AddListing adds a listing of the changes after the revision [Assembler.After]. A
// listing older than any earlier response is refused with ErrStale.
func (a *Assembler) AddListing(revision model.Revision, changes []KeyChange) error {
	if revision < a.latest {
		return ErrStale
	}
	a.listed, a.latest = revision, revision
	for _, change := range changes {
		a.addChange(change)
	}
	return nil
}

func (a *Assembler) addChange(change KeyChange) {
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

// Advanced reports whether a listing newer than the base was added.
func (a *Assembler) Advanced() bool { return a.listed > a.base.Revision }

// Next returns a key whose value must be read, or false if there is none.
func (a *Assembler) Next() (model.Key, bool) {
	for key := range a.wanted {
		return key, true
	}
	return "", false
}

// AddValue adds a value that was read. A value older than its listed revision is
// refused with ErrStale. A value newer than the listing requires another listing.
func (a *Assembler) AddValue(subtree *model.Subtree) error {
	if subtree.Revision < a.wanted[subtree.Key] {
		return ErrStale
	}
	delete(a.wanted, subtree.Key)
	a.changed[subtree.Key] = subtree
	a.latest = max(a.latest, subtree.Revision)
	return nil
}

// AddMissing records that a listed value does not exist: it was removed after the
// listing, or the response comes from a stale copy. Only a newer listing shows which,
// so the keys must be listed again, and the key remains to be read until then.
func (a *Assembler) AddMissing(model.Key) { a.latest = max(a.latest, a.listed+1) }

// NeedsListing reports whether the keys must be listed again, because a value was newer
// than the listing or missing.
func (a *Assembler) NeedsListing() bool { return a.latest > a.listed }

// Cut returns the complete cut. It returns false while values are still to be read
// or are newer than the listing, or if the listing is not newer than the base.
func (a *Assembler) Cut() (model.Cut, bool) {
	if len(a.wanted) > 0 || a.NeedsListing() || !a.Advanced() {
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
