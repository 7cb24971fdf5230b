package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Slow is the body of POST /admin/slow.
type Slow struct {
	Factor float64 `json:"factor"`
	// For is how long the factor holds; 0 means without end.
	For time.Duration `json:"for_ns"`
}

// Load is the answer to GET /load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// State is the answer to GET /admin/ledger.
type State struct {
	Executions map[string]int `json:"executions"`
	Shed       int            `json:"shed"`
	Crashes    int            `json:"crashes"`
}

// SetClaim makes the health page tell the truth or something else.
func (s *Server) SetClaim(c Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claim = c
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	claim := s.claim
	s.mu.Unlock()
	healthy := claim == ClaimHealthy || (claim == ClaimTruth && s.healthy.get())
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
	r.Post("/claim", s.postClaim)
	r.Post("/crash", func(http.ResponseWriter, *http.Request) { s.Crash() })
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	shed, crashes := s.shed, s.crashes
	s.mu.Unlock()
	writeJSON(w, State{Executions: s.config.Ledger.Executions(), Shed: shed, Crashes: crashes})
}

func (s *Server) postSlow(w http.ResponseWriter, r *http.Request) {
	var slow Slow
	if err := json.NewDecoder(r.Body).Decode(&slow); err != nil || slow.Factor < 0 {
		http.Error(w, "the body is not {\"factor\": F, \"for_ns\": D}", http.StatusBadRequest)
		return
	}
	s.SetSlow(slow.Factor, slow.For)
}

func (s *Server) postClaim(w http.ResponseWriter, r *http.Request) {
	claim := Claim(r.URL.Query().Get("health"))
	switch claim {
	case ClaimTruth, ClaimHealthy, ClaimUnhealthy:
		s.SetClaim(claim)
	default:
		http.Error(w, "health is not empty, healthy or unhealthy", http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
