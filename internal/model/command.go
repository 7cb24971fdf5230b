package model

// Command is one entry of a team's runbook vocabulary: what a command of the
// old tool means beneath the team's subtree.
type Command struct {
	Team TeamName `json:"team"`
	// Name is the command's name in the old tool.
	Name string `json:"name"`
	// Help is one line for operators.
	Help string `json:"help,omitempty"`
	// Parameters are the names that a step must give values for.
	Parameters []string `json:"parameters,omitempty"`
	// Set holds the changes to the team's document. Values may contain
	// ${parameter}.
	Set []Setting `json:"set,omitempty"`
	// Expect is what must hold on the fleet before the next step.
	Expect Expectation `json:"expect"`
}

// Setting puts a value at a path of the team's document.
type Setting struct {
	// Path is dotted, such as "services.katalog.slots".
	Path string `json:"path"`
	// Value is YAML text.
	Value string `json:"value"`
}

// Expectation is the outcome that a step waits for. All parts must hold.
type Expectation struct {
	// InForce asks that the step's settings run on every node.
	InForce bool `json:"in_force,omitempty"`
	// PresentService and PresentAtLeast ask that every node knows so many
	// present servers of the team's service. The number is text, as it may be a
	// parameter.
	PresentService string `json:"present_service,omitempty"`
	PresentAtLeast string `json:"present_at_least,omitempty"`
	// AbsentInstance asks that no node sends new requests to the instance.
	AbsentInstance string `json:"absent_instance,omitempty"`
}
