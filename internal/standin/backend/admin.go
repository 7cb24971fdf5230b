package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Slowdown is the body of POST /admin/slow.
type Slowdown struct {
	// Factor multiplies the run time of requests; 1 is the usual run time.
	Factor float64 `json:"factor"`
	// For is how long the factor applies; 0 means until the next change.
	For time.Duration `json:"for_ns"`
}

// Load is the response to GET /load: the number of requests that run, as of LoadLag
// ago, and the number of slots.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// Counters is the response to GET /admin/ledger.
type Counters struct {
	// Executions is the number of executions for each ledger ID.
	Executions map[string]int `json:"executions"`
	// Shed is the number of requests refused because no slot was free.
	Shed int `json:"shed"`
	// Crashes is the number of crashes since the start.
	Crashes int `json:"crashes"`
	// ColdPeak is the largest number of requests in a second while the server was cold.
	ColdPeak int `json:"cold_peak"`
}

// SetHealthOverride sets what the health page reports. HealthOverrideNone makes it
// report the actual state again.
func (s *Server) SetHealthOverride(override HealthOverride) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthOverride = override
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	override := s.healthOverride
	s.mu.Unlock()
	healthy := override == HealthOverrideHealthy || (override == HealthOverrideNone && s.healthy.get())
	s.stateWarmup(w.Header())
	if !healthy {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Load{InFlight: s.load.get(), Slots: s.config.Slots})
}

func (s *Server) adminRoutes(r chi.Router) {
	r.Get("/ledger", s.serveLedger)
	r.Post("/slow", s.postSlow)
	r.Post("/claim", s.postHealthOverride)
	r.Post("/cool", func(http.ResponseWriter, *http.Request) { s.Cool() })
	r.Post("/crash", func(http.ResponseWriter, *http.Request) { s.Crash() })
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	shed, crashes, peak := s.shed, s.crashes, s.cold.peak
	s.mu.Unlock()
	writeJSON(w, Counters{Executions: s.config.Ledger.Executions(), Shed: shed, Crashes: crashes, ColdPeak: peak})
}

func (s *Server) postSlow(w http.ResponseWriter, r *http.Request) {
	var slowdown Slowdown
	if err := json.NewDecoder(r.Body).Decode(&slowdown); err != nil || slowdown.Factor < 0 {
		http.Error(w, "the body is not {\"factor\": F, \"for_ns\": D}", http.StatusBadRequest)
		return
	}
	s.SetSlow(slowdown.Factor, slowdown.For)
}

func (s *Server) postHealthOverride(w http.ResponseWriter, r *http.Request) {
	override := HealthOverride(r.URL.Query().Get("health"))
	switch override {
	case HealthOverrideNone, HealthOverrideHealthy, HealthOverrideUnhealthy:
		s.SetHealthOverride(override)
	default:
		http.Error(w, "health is not empty, healthy or unhealthy", http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
