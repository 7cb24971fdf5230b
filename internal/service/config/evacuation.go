package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
	"github.com/galenalever/galenalever/internal/timeline"
)

// The parts that this service uses of services that a node may not have.
type (
	statusPage interface {
		AddStatus(section string, f func() any)
	}
	metrics interface {
		Scope() tally.Scope
	}
)

// evacuations reports the evacuated failure domains to the operators. The zero value
// reports only to the timeline.
type evacuations struct {
	clock clock.Clock
	gauge tally.Gauge
	// since is used on the control loop only.
	since   map[model.FailureDomain]time.Time
	current *kernel.Snapshot[[]status.Evacuation]
}

func newEvacuations() evacuations {
	return evacuations{
		clock: clock.System{}, gauge: tally.NoopScope.Gauge(""), since: map[model.FailureDomain]time.Time{},
		current: kernel.NewSnapshot([]status.Evacuation{}),
	}
}

// provision adds the evacuations to the status page and the metrics, if there are any.
func (e *evacuations) provision(c *kernel.Context) {
	e.clock = c.Clock
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Config, func() any { return status.Configuration{Evacuations: e.current.Load()} })
	}
	if m, err := kernel.Find[metrics](c, control.Metrics); err == nil {
		e.gauge = m.Scope().Gauge("evacuated_domains")
	}
}

// update records which evacuations have begun and ended with a configuration.
func (e *evacuations) update(after *model.Configuration, record func(kind timeline.Kind, detail string)) {
	evacuated := after.Tree.Evacuated
	for _, domain := range slices.Sorted(maps.Keys(e.since)) {
		if evacuated[domain] == nil {
			record(timeline.KindEvacuationEnded, fmt.Sprintf("domain %s, cut %s, after %s", domain, after.Cut.Revision,
				e.clock.Now().Sub(e.since[domain]).Round(time.Millisecond)))
			delete(e.since, domain)
		}
	}
	list := make([]status.Evacuation, 0, len(evacuated))
	for _, domain := range slices.Sorted(maps.Keys(evacuated)) {
		revision := after.Running[model.EvacuationKey(domain)].Revision
		if _, known := e.since[domain]; !known {
			e.since[domain] = e.clock.Now()
			record(timeline.KindEvacuationStarted, fmt.Sprintf("domain %s, revision %s, reason %q", domain, revision, evacuated[domain].Reason))
		}
		list = append(list, status.Evacuation{Domain: domain, Revision: revision, Since: e.since[domain], Reason: evacuated[domain].Reason})
	}
	e.gauge.Update(float64(len(list)))
	e.current.Store(list)
}
