package logging

import (
	"github.com/cespare/xxhash/v2"

	"github.com/galenalever/galenalever/internal/model"
)

// sampleRate is the number of requests of which one is logged although nothing
// happened to it.
const sampleRate = 64

// Sampled reports whether the course of a request is logged although nothing
// happened to it. All nodes agree, so that its lines can be joined.
func Sampled(id model.RequestID) bool { return xxhash.Sum64String(string(id))%sampleRate == 0 }
