package health_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/decision/health"
)

// TestScenarios runs testdata/hysteresis. The arguments are the results of successive
// checks, the output lists the state after each.
func TestScenarios(t *testing.T) {
	results := map[string]health.Result{"ok": health.OK, "failed": health.Failed, "refused": health.Refused}
	var tracker health.Tracker
	datadriven.RunTest(t, "testdata/hysteresis", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "new" {
			tracker = health.Tracker{}
		}
		var states []string
		for _, arg := range d.CmdArgs {
			tracker = tracker.Observe(results[arg.Key])
			states = append(states, tracker.State.String())
		}
		return strings.Join(states, " ") + "\n"
	})
}
