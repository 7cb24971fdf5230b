package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// The headers and query parameters by which a request asks for behaviour.
const (
	// HeaderLedgerID names the request in the ledger.
	HeaderLedgerID = "Stand-Ledger-Id"
	// HeaderCrash with the value "yes" crashes the server while it runs.
	HeaderCrash = "Stand-Crash"
	// HeaderShed marks the answer to a request that found no slot.
	HeaderShed = "Stand-Shed"
	// ParamRun is the run time, ParamSize the bytes of padding in the answer.
	ParamRun  = "run"
	ParamSize = "size"
)

// maxSize bounds the padding of an answer.
const maxSize = 64 << 20

// serveWork runs one request in a slot.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	work, err := s.parseWork(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.takeSlot() {
		w.Header().Set(HeaderShed, "yes")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer s.freeSlot()
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return // the request never arrived whole, so it does not run
	}
	s.run(w, r, work, digest)
}

// run executes a request that arrived whole.
func (s *Server) run(w http.ResponseWriter, r *http.Request, work work, digest hash.Hash) {
	id := r.Header.Get(HeaderLedgerID)
	s.config.Ledger.record(id)
	if r.Header.Get(HeaderCrash) == "yes" {
		s.Crash()
		return
	}
	if !sleep(r.Context(), s.slowed(work.run)) {
		return
	}
	answer := Answer{
		LedgerID:   id,
		Method:     r.Method,
		Path:       r.URL.Path,
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		Server:     s.config.Name,
		Size:       work.size,
	}
	body := answer.encode()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may be gone
}

// work is what a request asks for.
type work struct {
	run  time.Duration
	size int
}

func (s *Server) parseWork(r *http.Request) (work, error) {
	wanted := work{run: s.config.Latency}
	query := r.URL.Query()
	if text := query.Get(ParamRun); text != "" {
		run, err := time.ParseDuration(text)
		if err != nil {
			return work{}, eris.Errorf("run=%q is not a duration", text)
		}
		wanted.run = run
	}
	if text := query.Get(ParamSize); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 || size > maxSize {
			return work{}, eris.Errorf("size=%q is not between 0 and %d", text, maxSize)
		}
		wanted.size = size
	}
	return wanted, nil
}

func (s *Server) takeSlot() bool {
	select {
	case s.slots <- struct{}{}:
		s.load.set(len(s.slots))
		return true
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shed++
		return false
	}
}

func (s *Server) freeSlot() {
	<-s.slots
	s.load.set(len(s.slots))
}

// slowed returns the run time under the present slow factor.
func (s *Server) slowed(run time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.slowUntil.IsZero() && time.Now().After(s.slowUntil) {
		return run
	}
	return time.Duration(float64(run) * s.slowFactor)
}

// SetSlow multiplies run times by a factor for a time; 0 means without end.
func (s *Server) SetSlow(factor float64, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor, s.slowUntil = factor, time.Time{}
	if duration > 0 {
		s.slowUntil = time.Now().Add(duration)
	}
}

// sleep waits for d and reports whether the request was not cancelled.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
