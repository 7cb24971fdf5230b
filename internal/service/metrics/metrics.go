// Package metrics is the service that owns the process's root metrics scope and
// serves the metrics to operators as text.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/status"
)

// reportInterval is the time between two reports from the scope to the reporter,
// and so the maximum age of the served values.
const reportInterval = time.Second

// Config holds the settings of the service.
type Config struct {
	// Tags are added to every metric.
	Tags map[string]string
}

// Service owns the root scope and its reporter.
type Service struct {
	reporter *reporter
	scope    tally.Scope
	closer   io.Closer
}

// pages is implemented by the operator service.
type pages interface {
	Handle(pattern string, h http.Handler)
}

// New returns the service. Its scope can be used before the service starts.
func New(c Config) *Service {
	r := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "galena",
		Tags:                   c.Tags,
		Reporter:               r,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Service{reporter: r, scope: scope, closer: closer}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Metrics }

// Scope returns the root scope. It is safe for concurrent use.
func (s *Service) Scope() tally.Scope { return s.scope }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	operator, err := kernel.Find[pages](c, control.Operator)
	if err != nil {
		return err
	}
	operator.Handle(status.PathMetrics, http.HandlerFunc(s.serve))
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error { return s.closer.Close() }

func (s *Service) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = s.reporter.write(w) // the client may be gone
}
