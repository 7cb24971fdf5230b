package logging

import (
	"github.com/cespare/xxhash/v2"

	"github.com/galenalever/galenalever/internal/model"
)

// sampleRate sets the share of requests that are logged even if they are
// unremarkable: one in sampleRate.
const sampleRate = 64

// Sampled reports whether a request is logged even if it is unremarkable. It
// depends on the ID alone, so all nodes log the same requests and their lines can
// be joined.
func Sampled(id model.RequestID) bool { return xxhash.Sum64String(string(id))%sampleRate == 0 }
