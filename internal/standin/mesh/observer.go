package mesh

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// sampleTimeout bounds one call to a node's operator port.
	sampleTimeout = 2 * time.Second
	// sampleInterval is the time between two samples of all nodes.
	sampleInterval = 100 * time.Millisecond
)

// Reports holds the status of each node that answered.
type Reports map[string]status.Report

// Observer reads the status of all nodes and checks that no node ever runs a bad
// version, or an older one than before, also over its restarts.
type Observer struct {
	mesh   *Mesh
	client *status.Client

	mu         sync.Mutex
	last       map[string]status.Report
	forbidden  map[keyRevision]bool
	samples    int
	violations []string
}

// keyRevision names one version of one document.
type keyRevision struct {
	key      model.Key
	revision model.Revision
}

// NewObserver returns an observer of a mesh.
func NewObserver(m *Mesh) *Observer {
	return &Observer{
		mesh:   m,
		client: status.NewClient(sampleTimeout),
		last:   make(map[string]status.Report),

		forbidden: make(map[keyRevision]bool),
	}
}

// Forbid tells that a version is bad, so that no node may ever run it.
func (o *Observer) Forbid(key model.Key, revision model.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forbidden[keyRevision{key, revision}] = true
}

// Violations returns the returns to older versions, and the bad versions in
// force, seen so far.
func (o *Observer) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// Samples returns the number of reports read so far.
func (o *Observer) Samples() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.samples
}

// Run samples all nodes until the context ends.
func (o *Observer) Run(ctx context.Context) {
	_, _ = o.Await(ctx, func(Reports) bool { return false }) // it ends with the context
}

// Await samples all nodes until the condition holds. It returns the last
// reports also when the context ends before, or when a process ends by itself.
func (o *Observer) Await(ctx context.Context, condition func(Reports) bool) (Reports, error) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		reports := o.Sample(ctx)
		if condition(reports) {
			return reports, nil
		}
		if err := o.mesh.failure(); err != nil {
			return reports, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return reports, eris.Wrap(ctx.Err(), "the nodes did not reach the expected state")
		}
	}
}

// Sample reads the status of every node that runs.
func (o *Observer) Sample(ctx context.Context) Reports {
	reports := make(Reports)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, n := range o.mesh.Nodes {
		if !n.Running() {
			continue
		}
		calls.Go(func() {
			report, err := o.client.Report(ctx, n.Addresses().Operator)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[n.ID] = report
		})
	}
	calls.Wait()
	o.check(reports)
	return reports
}

// check compares each report with the one before of the same instance.
func (o *Observer) check(reports Reports) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, report := range reports {
		o.samples++
		if report.Version.Cut == 0 {
			continue // a fresh process that has no configuration yet
		}
		faults := older(o.last[id], report)
		for key, revision := range report.Version.Running {
			if o.forbidden[keyRevision{key, revision}] {
				faults = append(faults, fmt.Sprintf("%s runs at bad version %d", key, revision))
			}
		}
		for _, fault := range faults {
			o.violations = append(o.violations, describe(report, fault))
		}
		o.last[id] = report
	}
}

// describe returns one line on a fault and the state of the node.
func describe(r status.Report, fault string) string {
	return fmt.Sprintf("%s, up %s at %s: %s; cut %d, origin %s, held: %s", r.Instance, r.Uptime.Round(time.Millisecond),
		time.Now().UTC().Format("15:04:05.000"), fault, r.Version.Cut, r.Upstream(), r.Version.HeldText())
}

// older tells in which respects a node's version is older than the one before,
// and whether that was in the same process.
func older(before, now status.Report) []string {
	since := "in the same process"
	if before.Incarnation != now.Incarnation {
		since = "before its restart"
	}
	var faults []string
	if now.Version.Cut < before.Version.Cut {
		faults = append(faults, fmt.Sprintf("cut %d after %d %s", now.Version.Cut, before.Version.Cut, since))
	}
	for key, revision := range before.Version.Running {
		if running := now.Version.Running[key]; running < revision {
			faults = append(faults, fmt.Sprintf("%s at %d after %d %s", key, running, revision, since))
		}
	}
	return faults
}

// Events returns the merged events of all nodes that answer.
func (o *Observer) Events(ctx context.Context) []timeline.Event {
	var events []timeline.Event
	for _, n := range o.mesh.Nodes {
		if !n.Running() {
			continue
		}
		if list, err := o.client.Timeline(ctx, n.Addresses().Operator, 0); err == nil {
			events = append(events, list...)
		}
	}
	timeline.Sort(events)
	return events
}

// AllRun returns a condition: every node of the mesh runs the key at the
// revision or a later one.
func (m *Mesh) AllRun(key model.Key, revision model.Revision) func(Reports) bool {
	return m.all(func(r status.Report) bool { return r.Version.Running[key] >= revision })
}

// AllReady returns a condition: every node is ready and knows all instances.
func (m *Mesh) AllReady() func(Reports) bool {
	ready := model.PresenceReady.String()
	return m.all(func(r status.Report) bool { return r.Presence == ready && r.Members >= len(m.Nodes) })
}

func (m *Mesh) all(holds func(status.Report) bool) func(Reports) bool {
	return func(reports Reports) bool {
		for _, n := range m.Nodes {
			if report, ok := reports[n.ID]; !ok || !holds(report) {
				return false
			}
		}
		return true
	}
}
