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

// bench runs a watchdog on a fake clock.
type bench struct {
	clock    *clock.Fake
	kernel   *kernel.Kernel
	watchdog *watchdog.Service
	pauses   []time.Duration
	// refreshed counts the messages that follow a start or a pause.
	refreshed int
}

func (*bench) Name() string                 { return control.Timeline }
func (*bench) Record(timeline.Kind, string) {}

func (b *bench) Provision(c *kernel.Context) error {
	kernel.Subscribe(c.Loop, func(m control.Paused) { b.pauses = append(b.pauses, m.Gap) })
	kernel.Subscribe(c.Loop, func(control.Refreshed) { b.refreshed++ })
	kernel.Subscribe(c.Loop, func(m stall) { <-m.resume })
	return nil
}

// stall stops the control loop until resume is closed.
type stall struct{ resume chan struct{} }

func (stall) MessageName() string { return "stall" }

// pause lets time pass while the control loop does not run, and returns a
// function that lets it run again. The messages wait in the mailbox meanwhile.
func (b *bench) pause(d time.Duration, waiting ...kernel.Message) (resume func()) {
	m := stall{resume: make(chan struct{})}
	b.kernel.Loop().TryPost(m)
	synctest.Wait()
	for _, w := range waiting {
		b.kernel.Loop().TryPost(w)
	}
	b.clock.Advance(d)
	return func() {
		close(m.resume)
		synctest.Wait()
	}
}

func newBench(t *testing.T) *bench {
	b := &bench{clock: clock.NewFake(time.Unix(0, 0)), watchdog: watchdog.New(watchdog.Config{})}
	b.kernel = kernel.New(b.clock, slog.New(slog.DiscardHandler))
	if err := b.kernel.Register(b, b.watchdog); err != nil {
		t.Fatal(err)
	}
	if err := b.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return b
}

// inBubble runs a test in a bubble, where synctest.Wait returns when the control
// loop has handled everything.
func inBubble(t *testing.T, test func(*testing.T, *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer func() { _ = b.kernel.Stop(t.Context()) }()
		test(t, b)
	})
}

// run lets the process run for a time.
func (b *bench) run(d time.Duration) {
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		b.clock.Advance(50 * time.Millisecond)
		synctest.Wait()
	}
}

func (b *bench) synchronise() {
	b.kernel.Loop().TryPost(control.Synchronised{})
	synctest.Wait()
}

func TestFreshFromSynchronisationToPause(t *testing.T) {
	inBubble(t, freshFromSynchronisationToPause)
}

func freshFromSynchronisationToPause(t *testing.T, b *bench) {
	if b.watchdog.Fresh() {
		t.Error("fresh before the first synchronisation")
	}
	b.synchronise()
	b.run(10 * time.Second)
	if !b.watchdog.Fresh() || len(b.pauses) > 0 {
		t.Errorf("fresh %t after a quiet time, pauses %v", b.watchdog.Fresh(), b.pauses)
	}
	resume := b.pause(5 * time.Second)
	if b.watchdog.Fresh() {
		t.Error("a goroutine that wakes before the loop sees a fresh node")
	}
	resume()
	b.run(time.Second)
	if b.watchdog.Fresh() || len(b.pauses) != 1 {
		t.Errorf("fresh %t after a pause, pauses %v", b.watchdog.Fresh(), b.pauses)
	}
	b.synchronise()
	if !b.watchdog.Fresh() {
		t.Error("not fresh after the synchronisation")
	}
}

func TestRefreshedOnceForEachStartAndPause(t *testing.T) {
	inBubble(t, refreshedOnceForEachStartAndPause)
}

func refreshedOnceForEachStartAndPause(t *testing.T, b *bench) {
	for range 3 {
		b.synchronise()
	}
	if b.refreshed != 1 {
		t.Errorf("refreshed %d times after the start, want 1", b.refreshed)
	}
	b.pause(5 * time.Second)()
	for range 3 {
		b.synchronise()
	}
	if b.refreshed != 2 {
		t.Errorf("refreshed %d times after a pause, want 2", b.refreshed)
	}
}

func TestSynchronisationFromBeforeThePauseIsIgnored(t *testing.T) {
	inBubble(t, synchronisationFromBeforeThePauseIsIgnored)
}

func synchronisationFromBeforeThePauseIsIgnored(t *testing.T, b *bench) {
	b.synchronise()
	resume := b.pause(5*time.Second, control.Synchronised{})
	resume()
	if b.watchdog.Fresh() || len(b.pauses) != 1 {
		t.Errorf("fresh %t, pauses %v", b.watchdog.Fresh(), b.pauses)
	}
}
