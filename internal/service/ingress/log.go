package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/logging"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

// requestLog holds the attributes of a request for its log line and its metrics.
type requestLog struct {
	id       model.RequestID
	match    route.Match
	caller   frontend.CallerRequest
	begin    time.Time
	deadline time.Time
	attempts int
	// remoteAddr is the caller's network address.
	remoteAddr string
	// retryAfter is the Retry-After delay sent to the caller; 0 means none.
	retryAfter time.Duration
	// conn is the caller's connection; nil if it is not charged to an account.
	conn *occupancy.Conn
}

// recordRequest counts a request and logs its outcome. Of the requests that were
// answered without a server error, a retry or a missed objective, only a sample is
// logged, unless the node leaves.
func (s *Service) recordRequest(entry requestLog, status int, outcome model.Outcome, reason model.Reason) {
	now := s.clock.Now()
	took := now.Sub(entry.begin)
	rt := entry.match.Route
	s.metrics.count(rt, outcome, reason, took)
	if outcome == model.OutcomeAnswered {
		s.longestServed.observe(rt, took, now.Sub(s.start))
	}
	late := rt != nil && rt.Objective > 0 && took > rt.Objective
	routine := outcome == model.OutcomeAnswered && status < http.StatusInternalServerError && entry.attempts <= 1 && !late
	if routine && s.leavingSince.Load() == nil && !logging.Sampled(entry.id) {
		return
	}
	attrs := make([]slog.Attr, 0, 15)
	attrs = append(attrs, slog.String("request", string(entry.id)), slog.String("from", entry.remoteAddr))
	if rt != nil {
		attrs = append(attrs, slog.String("route", rt.Name), slog.String("to", string(entry.match.Destination.Service.Name)),
			slog.Int("servers", len(entry.match.Destination.Endpoints)))
	}
	if table := s.table.Load(); table != nil {
		attrs = append(attrs, slog.Uint64("configuration", uint64(table.Revision)),
			slog.Int64("configuration_age_ms", now.Sub(table.AppliedAt).Milliseconds()))
	}
	attrs = append(attrs,
		slog.String("outcome", outcome.String()), slog.String("reason", string(reason)), slog.Int("status", status),
		slog.Int("attempts", entry.attempts), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int64("caller_waits_ms", entry.caller.Timeout.Milliseconds()), slog.Bool("late", late),
		slog.Int64("retry_after_ms", entry.retryAfter.Milliseconds()))
	if s.leavingSince.Load() != nil {
		attrs = append(attrs, slog.Int64("leaving_ms", s.sinceLeaving(entry.begin).Milliseconds()))
	}
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}
