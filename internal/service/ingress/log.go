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
)

// requestLog is what the log line and the metrics of a request are made of.
type requestLog struct {
	id       model.RequestID
	match    route.Match
	caller   frontend.CallerRequest
	begin    time.Time
	attempts int
	// from is the address of the caller.
	from string
	// retryAfter is what a refused caller was told.
	retryAfter time.Duration
}

// finish counts a request and logs how it ended. Of the calm ones only a sample
// is logged.
func (s *Service) finish(entry requestLog, status int, outcome model.Outcome, reason model.Reason) {
	now := s.clock.Now()
	took := now.Sub(entry.begin)
	rt := entry.match.Route
	s.metrics.count(rt, outcome, reason, took)
	late := rt != nil && rt.Objective > 0 && took > rt.Objective
	calm := outcome == model.OutcomeAnswered && status < http.StatusInternalServerError && entry.attempts <= 1 && !late
	if calm && !logging.Sampled(entry.id) {
		return
	}
	attrs := make([]slog.Attr, 0, 14)
	attrs = append(attrs, slog.String("request", string(entry.id)), slog.String("from", entry.from))
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
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}
