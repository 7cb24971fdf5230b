// Package timeline provides the service that records the events of this process and
// serves them to operators.
package timeline

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
	"github.com/galenalever/galenalever/internal/timeline"
)

// capacity is the number of most recent events that a process keeps.
const capacity = 4096

// Config holds the settings of the service.
type Config struct {
	Instance model.InstanceID
	Clock    clock.Clock
}

// Service records events. Its methods are safe for concurrent use.
type Service struct {
	clock *timeline.Clock
	ring  *timeline.Ring
	log   *slog.Logger
}

// pages is the part of the operator service that this service uses.
type pages interface {
	Handle(pattern string, h http.Handler)
}

// New returns the service, which can record events before it is started.
func New(c Config) *Service {
	hybrid := timeline.NewClock(c.Clock)
	return &Service{
		clock: hybrid,
		ring:  timeline.NewRing(hybrid, string(c.Instance), capacity),
		log:   slog.New(slog.DiscardHandler), // until Provision
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Timeline }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	operator, err := kernel.Find[pages](c, control.Operator)
	if err != nil {
		return err
	}
	s.log = c.Log
	operator.Handle(status.PathTimeline, http.HandlerFunc(s.serve))
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.Record(timeline.KindProcessStarted, "")
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.Record(timeline.KindProcessStopped, "")
	return nil
}

// Record adds an event with the current time, and logs it. Once there are capacity
// events, each new one replaces the oldest.
func (s *Service) Record(kind timeline.Kind, detail string) {
	s.ring.Record(kind, detail)
	s.log.Info("event", "kind", kind, "detail", detail)
}

// Clock returns the hybrid logical clock, whose timestamps are sent with messages
// between nodes.
func (s *Service) Clock() *timeline.Clock { return s.clock }

// serve responds with the events after the timestamp in the query parameter "after", or
// with all events without it, as JSON.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	after, err := parseAfter(r.URL.Query().Get("after"))
	if err != nil {
		http.Error(w, "after is not a timestamp: "+err.Error(), http.StatusBadRequest)
		return
	}
	events := s.ring.After(after)
	if events == nil {
		events = []timeline.Event{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(events) // fails only if the client has disconnected
}

// parseAfter parses a timestamp; the empty text is 0, which precedes all events.
func parseAfter(text string) (timeline.Timestamp, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return timeline.Timestamp(n), err
}
