package quarantine

import (
	"fmt"
	"hash/fnv"
	"strconv"
)

// Fingerprint stands for all sends of one request. It covers what a caller that
// sends a request again repeats, and leaves out what differs between sends, such
// as request IDs, the host and the caller's address. Two kinds of collision are accepted:
// requests that differ in their bodies only, with equal lengths and no
// idempotency key, share a fingerprint, so a harmless one may be refused for as
// long as the record lasts; and two of 2^64 values may be equal by chance.
type Fingerprint uint64

// String formats the fingerprint as status pages and logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Attributes holds the properties of a request that a repeat of it shares.
type Attributes struct {
	Method, Path, Query string
	// BodyLength is -1 if unknown.
	BodyLength int64
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
}

// Fingerprint returns the fingerprint of requests of this shape.
func (s Attributes) Fingerprint() Fingerprint {
	length := strconv.FormatInt(s.BodyLength, 10)
	return Fingerprint(hashText(s.Method, s.Path, s.Query, length, s.IdempotencyKey))
}

// hashText hashes parts so that their boundaries count, and mixes the result,
// since FNV alone spreads short differences at the end badly.
func hashText(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the finaliser of MurmurHash3: every input bit changes half of the
// output bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
