package chaos_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/standin/chaos"
)

// TestGuaranteesHoldUnderFailures runs a fixed seed for a short time, with real
// processes, and checks that no guarantee is violated. "make chaos" runs any seed, by
// default for a minute.
func TestGuaranteesHoldUnderFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 14 processes")
	}
	bin := buildDaemon(t)
	config := chaos.Config{
		Bin: bin, Seed: 1, Scenario: chaos.ScenarioFailures, Duration: 10 * time.Second, Out: t.Output(),
	}
	if err := chaos.Run(t.Context(), config); err != nil {
		t.Error(err)
	}
}

// TestPlannedStopsLoseNoRequest guards against requests that nodes take during their
// planned stop and leave without a whole answer.
func TestPlannedStopsLoseNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 14 processes")
	}
	bin := buildDaemon(t)
	config := chaos.Config{
		Bin: bin, Seed: 1, Scenario: chaos.ScenarioStops, Duration: 10 * time.Second, Out: t.Output(),
	}
	if err := chaos.Run(t.Context(), config); err != nil {
		t.Error(err)
	}
}

// buildDaemon builds galenaleverd and returns the folder of the binary.
func buildDaemon(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	program := filepath.Join(bin, "galenaleverd")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program,
		"github.com/galenalever/galenalever/cmd/galenaleverd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building galenaleverd: %v\n%s", err, out)
	}
	return bin
}
