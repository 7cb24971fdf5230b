package model

// Command translates a command of the old tool that a team's runbooks use into the
// changes that it makes to the team's document and the condition to wait for.
type Command struct {
	Team TeamName `json:"team"`
	// Name is the command's name in the old tool.
	Name string `json:"name"`
	// Help is a one-line description for operators.
	Help string `json:"help,omitempty"`
	// Parameters are the names for which a step must give values.
	Parameters []string `json:"parameters,omitempty"`
	// Set holds the changes to the team's document. Values may contain
	// ${parameter}.
	Set []Setting `json:"set,omitempty"`
	// Expect is the condition that the nodes must meet before the next step.
	Expect Expectation `json:"expect"`
}

// Setting assigns a value to a path of the team's document.
type Setting struct {
	// Path is dotted, such as "services.katalog.slots".
	Path string `json:"path"`
	// Value is YAML text.
	Value string `json:"value"`
}

// Expectation is the condition that a step waits for. Every field that is set must be
// met.
type Expectation struct {
	// InForce requires that every node runs the step's settings.
	InForce bool `json:"in_force,omitempty"`
	// PresentService and PresentAtLeast require that every node knows at least
	// PresentAtLeast present servers of the team's service. The number is text
	// because it may be a ${parameter}.
	PresentService string `json:"present_service,omitempty"`
	PresentAtLeast string `json:"present_at_least,omitempty"`
	// AbsentInstance requires that no node sends new requests to the instance.
	AbsentInstance string `json:"absent_instance,omitempty"`
}
