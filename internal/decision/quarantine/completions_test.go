package quarantine_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
)

// TestRunBesideACrashIsNoCompletion guards against a request that went on crashing servers
// because a copy of it had been answered by one of them while it crashed.
func TestRunBesideACrashIsNoCompletion(t *testing.T) {
	const suspect, regular = quarantine.Fingerprint(1), quarantine.Fingerprint(2)
	crash := start.Add(time.Second)
	var c quarantine.Completions
	c.Add(regular, start, start)
	c.Add(regular, crash, crash)
	c.Add(suspect, start, crash.Add(-time.Millisecond)) // the crash is noticed later
	c.Crashed(crash)
	if c.Recent(suspect, crash) || !c.Recent(regular, crash) {
		t.Error("a run that ended just before the crash counts, or one long before it does not")
	}
	if c.Add(suspect, crash.Add(-time.Millisecond), crash.Add(time.Millisecond)) || c.Recent(suspect, crash) {
		t.Error("a run that began before the crash and ended after it counts")
	}
	after := crash.Add(2 * time.Second)
	if !c.Add(suspect, after, after) || !c.Recent(suspect, after) {
		t.Error("a run that began after the crash does not count")
	}
}
