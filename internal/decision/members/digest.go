package members

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalever/galenalever/internal/model"
)

// Buckets is the number of buckets by which two nodes compare their members. More
// buckets make each comparison larger; fewer make each difference larger, because a
// bucket that differs is sent whole.
const Buckets = 256

// bucketShift leaves the upper 8 bits of a 64-bit hash, which number the buckets.
const bucketShift = 64 - 8

func bucketOf(hash uint64) int { return int(hash >> bucketShift) }

// Cursor is a position in the member log of a node. Epoch identifies the log; the zero
// Cursor stands for no position.
type Cursor struct {
	Epoch    uint64
	Position uint64
}

// Cursor returns the end of this view's log.
func (v *View) Cursor() Cursor { return Cursor{Epoch: v.epoch, Position: v.position} }

// Digests returns one digest for each bucket: the XOR of the digests of its records.
// Departed instances are left out, so that nodes may forget them at different times.
func (v *View) Digests() []uint64 {
	out := make([]uint64, Buckets)
	for i, b := range v.buckets {
		out[i] = b.digest
	}
	return out
}

// Since returns the records that another node lacks, given its cursor and digests.
// If the cursor is into this view's log, these are the records that changed after
// it. Otherwise they are the records of the buckets whose digests differ, or all
// records if digests does not contain one for each bucket.
func (v *View) Since(from Cursor, digests []uint64) []model.Member {
	var out []model.Member
	for i, b := range v.buckets {
		switch {
		case from.Epoch == v.epoch:
			out = appendSince(out, b, from.Position)
		case len(digests) != Buckets || digests[i] != b.digest:
			out = appendMembers(out, b.entries)
		}
	}
	return out
}

func appendSince(out []model.Member, b *bucket, position uint64) []model.Member {
	if b.position <= position {
		return out
	}
	for _, e := range b.entries {
		if e.position > position {
			out = append(out, e.member)
		}
	}
	return out
}

// entryDigest returns the contribution of one record to its bucket's digest.
func entryDigest(e *entry) uint64 {
	if Departed(e.member) {
		return 0
	}
	var state [26]byte
	binary.BigEndian.PutUint64(state[0:], e.hash)
	binary.BigEndian.PutUint64(state[8:], uint64(e.member.Announced.Incarnation))
	binary.BigEndian.PutUint64(state[16:], uint64(e.member.ListedAt))
	state[24] = byte(e.member.Announced.Presence)
	state[25] = byte(e.member.Listed)
	return xxhash.Sum64(state[:])
}
