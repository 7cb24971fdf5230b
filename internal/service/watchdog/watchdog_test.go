package watchdog_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/service/watchdog"
	"github.com/galenalever/galenalever/internal/timeline"
)

// harness runs a watchdog on a fake clock.
type harness struct {
	clock    *clock.Fake
	kernel   *kernel.Kernel
	watchdog *watchdog.Service
	pauses   []time.Duration
	// refreshed counts the Refreshed messages.
	refreshed int
}

func (*harness) Name() string                 { return control.Timeline }
func (*harness) Record(timeline.Kind, string) {}

func (h *harness) Provision(c *kernel.Context) error {
	kernel.Subscribe(c.Loop, func(m control.Paused) { h.pauses = append(h.pauses, m.Gap) })
	kernel.Subscribe(c.Loop, func(control.Refreshed) { h.refreshed++ })
	kernel.Subscribe(c.Loop, func(m stall) { <-m.resume })
	return nil
}

// stall blocks the control loop until resume is closed.
type stall struct{ resume chan struct{} }

func (stall) MessageName() string { return "stall" }

// pause blocks the control loop, posts the waiting messages to its mailbox and
// advances the clock. The returned function unblocks the loop.
func (h *harness) pause(d time.Duration, waiting ...kernel.Message) (resume func()) {
	m := stall{resume: make(chan struct{})}
	h.kernel.Loop().TryPost(m)
	synctest.Wait()
	for _, w := range waiting {
		h.kernel.Loop().TryPost(w)
	}
	h.clock.Advance(d)
	return func() {
		close(m.resume)
		synctest.Wait()
	}
}

func newHarness(t *testing.T) *harness {
	h := &harness{clock: clock.NewFake(time.Unix(0, 0)), watchdog: watchdog.New(watchdog.Config{})}
	h.kernel = kernel.New(h.clock, slog.New(slog.DiscardHandler))
	if err := h.kernel.Register(h, h.watchdog); err != nil {
		t.Fatal(err)
	}
	if err := h.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return h
}

// inBubble runs a test in a synctest bubble, where synctest.Wait returns when the
// control loop has handled all messages.
func inBubble(t *testing.T, test func(*testing.T, *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer func() { _ = h.kernel.Stop(t.Context()) }()
		test(t, h)
	})
}

// run advances the clock by d in small steps while the control loop runs.
func (h *harness) run(d time.Duration) {
	for end := h.clock.Now().Add(d); h.clock.Now().Before(end); {
		h.clock.Advance(50 * time.Millisecond)
		synctest.Wait()
	}
}

func (h *harness) synchronise() {
	h.kernel.Loop().TryPost(control.Synchronised{})
	synctest.Wait()
}

// TestFreshFromSynchronisationToPause checks that the state becomes fresh only by a
// synchronisation, stays so while the process runs, and is stale as soon as a pause
// ends, before the control loop has handled a tick.
func TestFreshFromSynchronisationToPause(t *testing.T) {
	inBubble(t, freshFromSynchronisationToPause)
}

func freshFromSynchronisationToPause(t *testing.T, h *harness) {
	if h.watchdog.Fresh() {
		t.Error("fresh before the first synchronisation")
	}
	h.synchronise()
	h.run(10 * time.Second)
	if !h.watchdog.Fresh() || len(h.pauses) > 0 {
		t.Errorf("fresh %t without a pause, pauses %v", h.watchdog.Fresh(), h.pauses)
	}
	resume := h.pause(5 * time.Second)
	if h.watchdog.Fresh() {
		t.Error("fresh after a pause, before the control loop has run again")
	}
	resume()
	h.run(time.Second)
	if h.watchdog.Fresh() || len(h.pauses) != 1 {
		t.Errorf("fresh %t after a pause, pauses %v", h.watchdog.Fresh(), h.pauses)
	}
	h.synchronise()
	if !h.watchdog.Fresh() {
		t.Error("not fresh after the synchronisation")
	}
}

// TestRefreshedOnceForEachStartAndPause checks that repeated synchronisations emit
// Refreshed only once, as services start an exchange with their peers for each.
func TestRefreshedOnceForEachStartAndPause(t *testing.T) {
	inBubble(t, refreshedOnceForEachStartAndPause)
}

func refreshedOnceForEachStartAndPause(t *testing.T, h *harness) {
	for range 3 {
		h.synchronise()
	}
	if h.refreshed != 1 {
		t.Errorf("refreshed %d times after the start, want 1", h.refreshed)
	}
	h.pause(5 * time.Second)()
	for range 3 {
		h.synchronise()
	}
	if h.refreshed != 2 {
		t.Errorf("refreshed %d times after a pause, want 2", h.refreshed)
	}
}

// TestSynchronisationFromBeforeThePauseIsIgnored checks that a Synchronised message in
// the mailbox during a pause does not make the state fresh, since what it reports was
// received before the pause.
func TestSynchronisationFromBeforeThePauseIsIgnored(t *testing.T) {
	inBubble(t, synchronisationFromBeforeThePauseIsIgnored)
}

func synchronisationFromBeforeThePauseIsIgnored(t *testing.T, h *harness) {
	h.synchronise()
	resume := h.pause(5*time.Second, control.Synchronised{})
	resume()
	if h.watchdog.Fresh() || len(h.pauses) != 1 {
		t.Errorf("fresh %t after the pause, pauses %v; want stale and one pause", h.watchdog.Fresh(), h.pauses)
	}
}
