package quarantine

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"github.com/galenalever/galenalever/internal/model"
)

// Fingerprint identifies a request across retries. It covers what a retry repeats
// and leaves out what differs between attempts, such as request IDs, the host and
// the client's address. Two kinds of collision are accepted: requests that differ only
// in bodies of equal length and digest share a fingerprint, so a harmless one may be
// refused until the record expires; and two of 2^64 hashes may be equal by chance.
type Fingerprint uint64

// String formats the fingerprint for status pages and logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Attributes are the properties of a request that its retries share.
type Attributes struct {
	// Caller is the service of the instance where the request began, or empty if servers
	// are not told. Requests of different callers differ, since a server may crash at
	// those of one and answer those of another.
	Caller              model.ServiceName
	Method, Path, Query string
	// BodyLength is -1 if unknown. BodyDigest is a digest of the first part of the body,
	// or 0 if there is none.
	BodyLength int64
	BodyDigest uint32
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
}

// Fingerprint returns the fingerprint of requests with these attributes.
func (a Attributes) Fingerprint() Fingerprint {
	body := strconv.FormatInt(a.BodyLength, 10)
	if a.BodyDigest != 0 {
		body += "/" + strconv.FormatUint(uint64(a.BodyDigest), 16)
	}
	parts := []string{a.Method, a.Path, a.Query, body, a.IdempotencyKey}
	if a.Caller != "" {
		parts = append(parts, string(a.Caller))
	}
	return Fingerprint(hashStrings(parts...))
}

// hashStrings hashes the parts with a separator after each, so that their
// boundaries count. It mixes the result, since FNV alone spreads differences in the
// last bytes badly over the hash.
func hashStrings(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the 64-bit finaliser of MurmurHash3: each input bit affects every output
// bit with a probability of about one half.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
