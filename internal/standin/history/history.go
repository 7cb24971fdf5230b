// Package history records the changes of a published configuration tree. Tests read
// the cut at any revision from it, as an up-to-date or a stale platform would serve
// it.
package history

import (
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
)

// History is a sequence of published changes. The zero value is an empty tree
// at revision 0. It is not safe for concurrent use.
type History struct {
	changes []change
}

// change is the new state of one key. The subtree is nil if the key was removed.
type change struct {
	key     model.Key
	subtree *model.Subtree
}

// Publish stores a new version of a document and returns its revision.
func (h *History) Publish(key model.Key, text string) model.Revision {
	revision := h.Revision() + 1
	h.changes = append(h.changes, change{key: key, subtree: document.NewSubtree(key, revision, []byte(text), false)})
	return revision
}

// Remove deletes a document and returns the revision of the deletion.
func (h *History) Remove(key model.Key) model.Revision {
	h.changes = append(h.changes, change{key: key})
	return h.Revision()
}

// Revision returns the revision of the newest change.
func (h *History) Revision() model.Revision { return model.Revision(len(h.changes)) }

// Cut returns the cut that a reader of the platform gets at a revision: the keys that
// exist at it, each as of its latest change. The revision must not be greater than
// that of the newest change.
func (h *History) Cut(revision model.Revision) model.Cut {
	cut := model.Cut{Revision: revision, Subtrees: map[model.Key]*model.Subtree{}}
	for _, c := range h.changes[:revision] {
		if c.subtree == nil {
			delete(cut.Subtrees, c.key)
		} else {
			cut.Subtrees[c.key] = c.subtree
		}
	}
	return cut
}
