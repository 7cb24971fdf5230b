package gate

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/logging"
	"github.com/galenalever/galenalever/internal/model"
)

// slowCallThreshold is the time at the gate from which every answered call is
// logged.
const slowCallThreshold = 400 * time.Millisecond

// logCall logs the outcome of a call. Quick successful calls are sampled, unless the
// gate leaves.
func (s *Service) logCall(c *call, outcome model.Outcome, reason model.Reason, status int, retryAfter time.Duration) {
	now := s.clock.Now()
	quickSuccess := outcome == model.OutcomeAnswered && status < http.StatusInternalServerError && now.Sub(c.arrived) < slowCallThreshold
	if quickSuccess && !s.leaveScheduled.Load() && !logging.Sampled(c.ID) {
		return
	}
	load := s.load()
	started := c.started
	if started.IsZero() {
		started = now
	}
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "gate",
		slog.String("request", string(c.ID)), slog.Int("attempt", c.Attempt), slog.String("target", string(c.Target)),
		slog.String("outcome", outcome.String()), slog.String("reason", string(reason)), slog.Int("status", status),
		slog.Int64("waited_ms", started.Sub(c.arrived).Milliseconds()), slog.Int64("ran_ms", now.Sub(started).Milliseconds()),
		slog.Int64("held_up_ms", c.oneWayDelay.Milliseconds()), slog.Int64("left_ms", c.deadline.Sub(now).Milliseconds()),
		slog.Int("running", load.InFlight), slog.Int("queued", load.Queued), slog.Int("slots", load.Slots),
		slog.Int64("patience_ms", c.MaxQueueWait.Milliseconds()),
		slog.Bool("withdrawn", s.withdrawn.Load()), slog.Bool("leaving", s.leaving.Load()),
		slog.Int64("leaving_ms", s.sinceLeaving(c.arrived).Milliseconds()),
		slog.Int64("retry_after_ms", retryAfter.Milliseconds()))
}
