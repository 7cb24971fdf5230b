package forward

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/logging"
	"github.com/galenalever/galenalever/internal/model"
)

// logAttempt logs the result of an attempt that began at the given time, and the
// decision that follows. Of the requests answered at the first attempt only a sample is
// logged.
func (r *requestState) logAttempt(last result, next retry.Decision, begin time.Time) {
	q := r.request
	if last.Outcome == model.OutcomeAnswered && r.progress.Attempts == 1 && !logging.Sampled(q.ID) {
		return
	}
	r.service.log.LogAttrs(context.Background(), slog.LevelInfo, "attempt",
		slog.String("request", string(q.ID)), slog.Int("attempt", r.progress.Attempts),
		slog.String("to", string(r.current.ID.Instance)), slog.String("to_domain", string(r.current.Domain)),
		slog.String("address", r.current.Address), slog.Int("servers", len(q.Destination.Endpoints)),
		slog.String("outcome", last.Outcome.String()), slog.String("reason", string(last.Reason)),
		slog.Int64("took_ms", r.service.clock.Now().Sub(begin).Milliseconds()),
		slog.Int64("left_ms", r.progress.TimeLeft.Milliseconds()),
		slog.Bool("idempotent", q.Route.Idempotent), slog.Int("reached_servers", r.progress.Reached),
		slog.Int("gate_in_flight", last.report.Load.InFlight), slog.Int("gate_queued", last.report.Load.Queued),
		slog.Int64("gate_wait_ms", last.report.Load.Wait.Milliseconds()), slog.Int64("patience_ms", r.maxQueueWait.Milliseconds()),
		slog.String("next", next.Action.String()), slog.Int64("next_delay_ms", next.Delay.Milliseconds()),
		slog.Bool("over_budget", r.overBudget))
}

// logNoServer logs that the balancer had no server for the request.
func (r *requestState) logNoServer() {
	r.service.log.LogAttrs(context.Background(), slog.LevelInfo, "no server available for the request",
		slog.String("request", string(r.request.ID)), slog.Int("attempts", r.progress.Attempts),
		slog.String("service_asked", string(r.request.Destination.Service.Name)),
		slog.Int("servers", len(r.request.Destination.Endpoints)), slog.Int("tried", len(r.tried)))
}
