package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// inFlight is the set of requests that are being served. It is safe for concurrent use.
type inFlight struct {
	mu       sync.Mutex
	requests map[uint64]flight
	// idle is closed when the last request has ended; nil unless awaited.
	idle chan struct{}
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
	if len(f.requests) == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
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

// awaitIdle waits until no request is being served and reports false if the context
// ended first.
func (f *inFlight) awaitIdle(ctx context.Context) bool {
	for {
		f.mu.Lock()
		if len(f.requests) == 0 {
			f.mu.Unlock()
			return true
		}
		if f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return false
		}
	}
}
