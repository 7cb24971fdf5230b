package replicate

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// Digest returns a digest of the present subtrees of a cut. Tombstones are left
// out, so that nodes that dropped different ones still have equal digests.
func Digest(cut model.Cut) model.Hash {
	h := sha256.New()
	var buffer []byte
	for _, key := range slices.Sorted(maps.Keys(cut.Subtrees)) {
		subtree := cut.Subtrees[key]
		if subtree.Removed {
			continue
		}
		buffer = binary.BigEndian.AppendUint64(buffer[:0], uint64(len(key)))
		buffer = append(buffer, key...)
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(subtree.Revision))
		buffer = append(buffer, rejectedFlag(subtree))
		buffer = append(buffer, subtree.Hash[:]...)
		h.Write(buffer)
	}
	return model.Hash(h.Sum(nil))
}

// RunningDigest returns a digest of the running subtrees. Only nodes that hold a
// subtree back compare it, since only they can run different subtrees at the same
// cut.
func RunningDigest(configuration *model.Configuration) model.Hash {
	return Digest(model.Cut{Subtrees: configuration.Running})
}

func rejectedFlag(subtree *model.Subtree) byte {
	if len(subtree.Rejected) > 0 {
		return 1
	}
	return 0
}
