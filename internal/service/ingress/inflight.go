package ingress

import (
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// inFlight is the set of requests that are being served. It is safe for concurrent use.
type inFlight struct {
	mu       sync.Mutex
	requests map[uint64]flight
}

// flight is a request that is being served.
type flight struct {
	id    model.RequestID
	route string // empty until the route is known
	begin time.Time
}

// add adds a request under its number and returns how many are being served.
func (f *inFlight) add(number uint64, id model.RequestID, begin time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[uint64]flight)
	}
	f.requests[number] = flight{id: id, begin: begin}
	return int64(len(f.requests))
}

// setRoute records the route of a request.
func (f *inFlight) setRoute(number uint64, route string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requests[number]
	request.route = route
	f.requests[number] = request
}

func (f *inFlight) remove(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, number)
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// all returns the requests that are being served.
func (f *inFlight) all() []flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]flight, 0, len(f.requests))
	for _, request := range f.requests {
		out = append(out, request)
	}
	return out
}
