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

// The headers and query parameters that control how a request runs.
const (
	// HeaderLedgerID is the ID under which the ledger counts the request.
	HeaderLedgerID = "Stand-Ledger-Id"
	// HeaderCrash with the value "yes" makes the request crash the server.
	HeaderCrash = "Stand-Crash"
	// HeaderShed marks the response to a request that found no free slot.
	HeaderShed = "Stand-Shed"
	// ParamRun is the run time, such as 20ms; ParamSize is the number of bytes of
	// padding in the response.
	ParamRun  = "run"
	ParamSize = "size"
)

// maxPaddingBytes bounds the padding of a response.
const maxPaddingBytes = 64 << 20

// serveRequest runs one request in a slot, or sheds it if no slot is free.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	options, err := s.parseRunOptions(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.overloaded() {
		s.Crash()
		panic(http.ErrAbortHandler) // another crash may not have closed this connection yet
	}
	if !s.acquireSlot() {
		w.Header().Set(HeaderShed, "yes")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return // the request is incomplete, so it does not run
	}
	s.run(w, r, options, digest)
}

// run executes a request that was received completely. digest is the SHA-256 of its
// body.
func (s *Server) run(w http.ResponseWriter, r *http.Request, options runOptions, digest hash.Hash) {
	id := r.Header.Get(HeaderLedgerID)
	end := s.config.Ledger.begin(id, s.config.Name)
	if r.Header.Get(HeaderCrash) == "yes" {
		s.Crash()
		end(false)
		panic(http.ErrAbortHandler) // another crash may not have closed this connection yet
	}
	completed := sleep(r.Context(), s.scaleRunTime(options.runTime))
	end(completed)
	if !completed {
		return
	}
	response := Response{
		LedgerID:   id,
		Method:     r.Method,
		Path:       r.URL.Path,
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		Server:     s.config.Name,
		Size:       options.size,
	}
	body := response.encode()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may be gone
}

// runOptions are the options in the query of a request.
type runOptions struct {
	runTime time.Duration
	size    int
}

func (s *Server) parseRunOptions(r *http.Request) (runOptions, error) {
	options := runOptions{runTime: s.config.Latency}
	query := r.URL.Query()
	if text := query.Get(ParamRun); text != "" {
		runTime, err := time.ParseDuration(text)
		if err != nil {
			return runOptions{}, eris.Errorf("run=%q is not a duration", text)
		}
		options.runTime = runTime
	}
	if text := query.Get(ParamSize); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 || size > maxPaddingBytes {
			return runOptions{}, eris.Errorf("size=%q is not between 0 and %d", text, maxPaddingBytes)
		}
		options.size = size
	}
	return options, nil
}

func (s *Server) acquireSlot() bool {
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

func (s *Server) releaseSlot() {
	<-s.slots
	s.load.set(len(s.slots))
}

func (s *Server) scaleRunTime(runTime time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.cold.until) {
		runTime *= coldSlowdown
	}
	if !s.slowUntil.IsZero() && time.Now().After(s.slowUntil) {
		return runTime
	}
	return time.Duration(float64(runTime) * s.slowFactor)
}

// SetSlow multiplies run times by a factor for a duration; 0 means until the next
// call.
func (s *Server) SetSlow(factor float64, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor, s.slowUntil = factor, time.Time{}
	if duration > 0 {
		s.slowUntil = time.Now().Add(duration)
	}
}

// sleep returns false if ctx ends first.
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
