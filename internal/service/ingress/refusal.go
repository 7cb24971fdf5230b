package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// Reasons that only this service gives.
const (
	reasonUpgrade model.Reason = "upgrade-not-supported" // the caller asked for another protocol
	reasonInvalid model.Reason = "invalid-request"       // a malformed path, header or body
	reasonSlow    model.Reason = "slow-request"          // the body came too slowly
)

// statusClientClosed is recorded when the caller went away. No caller sees it.
const statusClientClosed = 499

// refusal is an answer that no backend server gave.
type refusal struct {
	status     int
	outcome    model.Outcome
	reason     model.Reason
	retryAfter time.Duration
	// allow lists the methods for status 405.
	allow string
}

func notRun(status int, reason model.Reason) *refusal {
	return &refusal{status: status, outcome: model.OutcomeNotRun, reason: reason}
}

// refusalOf returns what a caller is told of a request without an answer.
func refusalOf(a *call.Result, body *call.Body) refusal {
	r := refusal{outcome: a.Outcome, reason: a.Reason, retryAfter: a.RetryAfter}
	if errors.Is(body.Err(), os.ErrDeadlineExceeded) {
		r.reason = reasonSlow
	}
	r.status = statusOf(r.outcome, r.reason)
	return r
}

// statusOf returns the HTTP status of a request without an answer.
func statusOf(outcome model.Outcome, reason model.Reason) int {
	switch reason {
	case model.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case model.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case reasonSlow:
		return http.StatusRequestTimeout
	case model.ReasonCancelled:
		return statusClientClosed
	case model.ReasonDuplicate:
		return http.StatusConflict
	}
	switch {
	case outcome == model.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case reason == model.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// defaultRetryAfter is told to callers of a request that was not run, when no
// gate gave a delay.
const defaultRetryAfter = time.Second

// minRetryAfter is the shortest delay that a refused caller is told: demand
// swings over seconds, so whoever comes back sooner meets the same overload.
const minRetryAfter = 400 * time.Millisecond

// refuse answers a request that has no answer of a server.
func (s *Service) refuse(w http.ResponseWriter, entry requestLog, r refusal) {
	told := frontend.Refusal{Status: r.status, Outcome: r.outcome, Reason: r.reason}
	if r.status == http.StatusServiceUnavailable {
		told.RetryAfter = max(r.retryAfter, minRetryAfter)
		if r.retryAfter <= 0 {
			told.RetryAfter = defaultRetryAfter
		}
	}
	entry.retryAfter = told.RetryAfter
	s.finish(entry, r.status, r.outcome, r.reason)
	h := w.Header()
	s.closeAfter(h)
	s.config.Headers.Refuse(h, told)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	if r.allow != "" {
		h.Set("Allow", r.allow)
	}
	w.WriteHeader(r.status)
	fmt.Fprintf(w, "outcome: %s\nreason: %s\n", r.outcome, r.reason)
}
