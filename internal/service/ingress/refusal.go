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

// Reasons that only this service returns.
const (
	reasonUpgrade model.Reason = "upgrade-not-supported" // the caller asked to switch protocols
	reasonInvalid model.Reason = "invalid-request"       // a malformed path, header or body
	reasonSlow    model.Reason = "slow-request"          // the body was not received in time
	reasonFull    model.Reason = "no-memory"             // no memory for the body is free
)

// statusClientClosed is logged when the caller has closed its connection. It is
// never sent.
const statusClientClosed = 499

// refusal is a response that the node generates itself, without one of a backend
// server.
type refusal struct {
	status  int
	outcome model.Outcome
	reason  model.Reason
	// retryAfter is the delay that a gate asked for; 0 means none.
	retryAfter time.Duration
	// allow lists the methods for status 405.
	allow string
}

func notRun(status int, reason model.Reason) *refusal {
	return &refusal{status: status, outcome: model.OutcomeNotRun, reason: reason}
}

// refusalOf returns the refusal for a result without a server's response.
func refusalOf(result *call.Result, body *call.Body) refusal {
	r := refusal{outcome: result.Outcome, reason: result.Reason, retryAfter: result.RetryAfter}
	if errors.Is(body.Err(), os.ErrDeadlineExceeded) {
		r.reason = reasonOfLateBody(result.Outcome)
	}
	r.status = statusOf(r.outcome, r.reason)
	return r
}

// reasonOfLateBody returns the reason of a request whose body was still arriving at its
// deadline. A server may have begun to run it, and then reasonSlow would be untrue: its
// status promises that the request has not run.
func reasonOfLateBody(outcome model.Outcome) model.Reason {
	if outcome == model.OutcomeNotRun {
		return reasonSlow
	}
	return model.ReasonDeadline
}

// statusOf returns the HTTP status of a request without a server's response.
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

// refuse responds to a request for which there is no server's response, and records it.
func (s *Service) refuse(w http.ResponseWriter, entry requestLog, r refusal) {
	sent := frontend.Refusal{Status: r.status, Outcome: r.outcome, Reason: r.reason}
	if r.status == http.StatusServiceUnavailable {
		sent.RetryAfter = s.retryAfter(entry, r)
	}
	entry.retryAfter = sent.RetryAfter
	s.recordRequest(entry, r.status, r.outcome, r.reason)
	h := w.Header()
	s.closeIfLeaving(h)
	closeIfAhead(h, entry.conn)
	s.config.Headers.Refuse(h, sent)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	if r.allow != "" {
		h.Set("Allow", r.allow)
	}
	w.WriteHeader(r.status)
	fmt.Fprintf(w, "outcome: %s\nreason: %s\n", r.outcome, r.reason)
}
