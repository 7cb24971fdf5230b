package chaos

import "testing"

func TestSeedSelectsScenario(t *testing.T) {
	selected := make(map[Scenario]bool)
	for seed := range uint64(len(scenarios)) {
		scenario, err := Scenario("").resolve(seed)
		if err != nil {
			t.Error(err)
		}
		selected[scenario] = true
	}
	if len(selected) != len(scenarios) {
		t.Errorf("consecutive seeds select %v, want all of %v", selected, scenarios)
	}
	if scenario, err := ScenarioStops.resolve(0); err != nil || scenario != ScenarioStops {
		t.Errorf("a given scenario resolves to %q, %v", scenario, err)
	}
	if _, err := Scenario("other").resolve(0); err == nil {
		t.Error("an unknown scenario resolves")
	}
}
