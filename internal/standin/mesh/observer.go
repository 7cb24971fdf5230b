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
	// sampleTimeout is the timeout of a call to a node's operator port.
	sampleTimeout = 2 * time.Second
	// sampleInterval is the interval at which the status of all nodes is read.
	sampleInterval = 100 * time.Millisecond
)

// Reports holds the status of each node that responded, by instance ID.
type Reports map[string]status.Report

// Observer polls the status of all nodes and checks that no node ever runs a bad
// version of a document or reverts to an older version, not even after a restart.
type Observer struct {
	mesh   *Mesh
	client *status.Client

	mu sync.Mutex
	// last holds the last report of each instance that had a configuration.
	last map[string]status.Report
	// bad holds the versions that no node may run.
	bad map[keyRevision]bool
	// removed holds the revision at which a document was removed last.
	removed map[model.Key]model.Revision
	// samples is the number of status reports read so far.
	samples    int
	violations []string
}

// keyRevision identifies a version of a document.
type keyRevision struct {
	key      model.Key
	revision model.Revision
}

// NewObserver returns an observer of a mesh, which has read no status yet.
func NewObserver(m *Mesh) *Observer {
	return &Observer{
		mesh:   m,
		client: status.NewClient(sampleTimeout),
		last:   make(map[string]status.Report),

		bad:     make(map[keyRevision]bool),
		removed: make(map[model.Key]model.Revision),
	}
}

// Forbid marks a version as bad: from now on it is a violation if a node runs it.
func (o *Observer) Forbid(key model.Key, revision model.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bad[keyRevision{key, revision}] = true
}

// Removed marks a document as removed at a revision: it is no violation if a node that
// knows this revision does not run the document.
func (o *Observer) Removed(key model.Key, revision model.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removed[key] = revision
}

// Violations returns one line for each reversion to an older version, and for each use
// of a bad version, seen so far.
func (o *Observer) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// Samples returns the number of status reports read so far.
func (o *Observer) Samples() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.samples
}

// Run samples all nodes periodically until the context ends or a process ends
// unexpectedly. Violations returns what it found.
func (o *Observer) Run(ctx context.Context) {
	_, _ = o.Await(ctx, func(Reports) bool { return false }) // the error only gives the reason for the end
}

// Await samples all nodes periodically until the condition holds. It returns an error
// if the context ends first or a process ends unexpectedly, and the last reports in
// any case.
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

// Sample reads the status of every running node and checks it. A node that does not
// respond is left out.
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
	o.checkVersions(reports)
	return reports
}

// checkVersions compares each report with the previous one of the same instance.
func (o *Observer) checkVersions(reports Reports) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, report := range reports {
		o.samples++
		if report.Version.Cut == 0 {
			continue // a fresh process that has no configuration yet
		}
		for key, revision := range o.last[id].Version.Running {
			if o.removed[key] > revision && report.Version.Cut >= o.removed[key] {
				delete(o.last[id].Version.Running, key)
			}
		}
		violations := findReversions(o.last[id], report)
		for key, revision := range report.Version.Running {
			if o.bad[keyRevision{key, revision}] {
				violations = append(violations, fmt.Sprintf("%s runs at bad revision %d", key, revision))
			}
		}
		for _, violation := range violations {
			o.violations = append(o.violations, describeViolation(report, violation))
		}
		o.last[id] = report
	}
}

func describeViolation(r status.Report, violation string) string {
	return fmt.Sprintf("%s, up %s at %s: %s; cut %d, upstream %s, held: %s", r.Instance, r.Uptime.Round(time.Millisecond),
		time.Now().UTC().Format("15:04:05.000"), violation, r.Version.Cut, r.Upstream(), r.Version.HeldText())
}

// findReversions compares two reports of an instance. It describes each version that is
// older in the later report, and whether the process was restarted in between.
func findReversions(before, after status.Report) []string {
	when := "in the same process"
	if before.Incarnation != after.Incarnation {
		when = "before its restart"
	}
	var reversions []string
	if after.Version.Cut < before.Version.Cut {
		reversions = append(reversions, fmt.Sprintf("cut %d after %d %s", after.Version.Cut, before.Version.Cut, when))
	}
	for key, revision := range before.Version.Running {
		if running := after.Version.Running[key]; running < revision {
			reversions = append(reversions, fmt.Sprintf("%s at %d after %d %s", key, running, revision, when))
		}
	}
	return reversions
}

// Events returns the merged timeline events of all running nodes that respond.
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

// AllRun returns the condition that every node of the mesh runs the document of the
// key at the revision or a later one.
func (m *Mesh) AllRun(key model.Key, revision model.Revision) func(Reports) bool {
	return m.allNodes(func(r status.Report) bool { return r.Version.Running[key] >= revision })
}

// AllReady returns the condition that every node is ready and knows all instances. A
// node that does not announce its presence is ready once it has a configuration.
func (m *Mesh) AllReady() func(Reports) bool {
	ready := model.PresenceReady.String()
	return m.allNodes(func(r status.Report) bool {
		present := r.Presence == ready || m.config.Direct && r.Version.Cut > 0
		return present && r.Members >= len(m.Nodes)
	})
}

// allNodes returns the condition that every node has a report that fulfils a
// condition.
func (m *Mesh) allNodes(condition func(status.Report) bool) func(Reports) bool {
	return func(reports Reports) bool {
		for _, n := range m.Nodes {
			if report, ok := reports[n.ID]; !ok || !condition(report) {
				return false
			}
		}
		return true
	}
}
