package chaos

import (
	"time"

	"github.com/rotisserie/eris"
)

// Scenario is the kind of failures in a run.
type Scenario string

// The scenarios.
const (
	// ScenarioFailures has unplanned failures and single drains, with more time to drain
	// than any request needs.
	ScenarioFailures Scenario = "failures"
	// ScenarioStops has planned stops of whole failure domains beside other planned work,
	// failures of the platform and slow servers. Nodes announce nothing and have little
	// time to drain, and clients keep their connections to nodes that leave.
	ScenarioStops Scenario = "planned-stops"
	// ScenarioMixed has the failures of both, with the drains and clients of
	// ScenarioStops, and nodes that announce their presence.
	ScenarioMixed Scenario = "mixed"
)

// scenarios are the scenarios in the order in which consecutive seeds select them.
var scenarios = []Scenario{ScenarioFailures, ScenarioStops, ScenarioMixed}

// resolve returns the scenario that the seed selects if none is set.
func (s Scenario) resolve(seed uint64) (Scenario, error) {
	if s == "" {
		return scenarios[seed%uint64(len(scenarios))], nil
	}
	for _, known := range scenarios {
		if s == known {
			return s, nil
		}
	}
	return "", eris.Errorf("scenario %q does not exist", string(s))
}

// direct reports whether nodes announce nothing and know each other from the platform's
// list only.
func (s Scenario) direct() bool { return s == ScenarioStops }

// drain is how nodes are stopped as planned.
type drain struct {
	// arguments are the nodes' command-line arguments.
	arguments []string
	// grace is the time from SIGTERM to SIGKILL.
	grace time.Duration
}

// drain returns the drain of a scenario. The long one exceeds the duration of an upload,
// so that it interrupts none; the short one has the settings that nodes have under the
// platform, which grants 6 s.
func (s Scenario) drain() drain {
	if s == ScenarioFailures {
		return drain{arguments: []string{"--drain-timeout", "10s"}, grace: stopTimeout}
	}
	return drain{
		arguments: []string{"--drain-lead", "2.8s", "--drain-serve", "2s", "--drain-timeout", "5.5s"},
		grace:     6 * time.Second,
	}
}
