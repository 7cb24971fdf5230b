package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/frontend"
)

const (
	// coldSlowdown is the factor by which a cold server is slower.
	coldSlowdown = 2
	// coolGrace is the time after Cool in which the server does not crash from too many
	// requests, since its node is told late that a running server became cold.
	coolGrace = 2500 * time.Millisecond
)

// coldState is the warm-up of a server. It is guarded by Server.mu.
type coldState struct {
	until time.Time
	// enforcedFrom is when too many requests begin to crash the server.
	enforcedFrom time.Time
	// arrivals are the requests of the last second while the server was cold, peak is
	// the largest number of them since the start.
	arrivals []time.Time
	peak     int
	// overloads counts the crashes because of too many requests.
	overloads int
}

// Cool makes a running server cold, as when it loses its caches.
func (s *Server) Cool() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.cold.until, s.cold.enforcedFrom = now.Add(s.config.Warmup), now.Add(coolGrace)
}

// coolAfterRestart makes a server cold that has restarted after a crash. The lock must be
// held.
func (s *Server) coolAfterRestart() {
	if s.crashes > 0 {
		now := time.Now()
		s.cold.until, s.cold.enforcedFrom, s.cold.arrivals = now.Add(s.config.Warmup), now, nil
	}
}

// WarmupLeft returns how much longer the server is cold.
func (s *Server) WarmupLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.cold.until), 0)
}

// Overloads returns how often the server crashed because it received too many requests
// while it was cold.
func (s *Server) Overloads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.overloads
}

// ColdPeak returns the largest number of requests that the server received in a second
// while it was cold.
func (s *Server) ColdPeak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.peak
}

// overloaded counts a request and reports whether a cold server crashes from it.
func (s *Server) overloaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, c := time.Now(), &s.cold
	if s.config.WarmupBound == 0 || !now.Before(c.until) || now.Before(c.enforcedFrom) {
		return false
	}
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) >= time.Second {
		c.arrivals = c.arrivals[1:]
	}
	c.arrivals = append(c.arrivals, now)
	c.peak = max(c.peak, len(c.arrivals))
	if len(c.arrivals) <= s.config.WarmupBound || s.down || s.closed {
		return false
	}
	c.overloads++
	return true
}

// stateWarmup sets the header of a health response that states the warm-up.
func (s *Server) stateWarmup(h http.Header) {
	if s.config.Warmup > 0 {
		h.Set(frontend.HeaderWarmup, strconv.FormatInt(s.WarmupLeft().Milliseconds(), 10))
	}
}
