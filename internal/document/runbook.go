package document

import (
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// DefaultStepTimeout is how long a step that sets no timeout waits for its expected
// outcome.
const DefaultStepTimeout = time.Minute

// maxSteps bounds the steps of one runbook.
const maxSteps = 200

// stepTimeoutRange bounds the timeout of a step; 0 checks the outcome once,
// without waiting.
var stepTimeoutRange = durationRange{0, 24 * time.Hour}

// ParseRunbook parses a runbook, which is usable only if there are no findings.
// The source is the file's name in findings.
func ParseRunbook(source string, text []byte) (*runbook.Runbook, findings.List) {
	r := &reader{source: source}
	parsed := &runbook.Runbook{}
	if body, ok := r.parse(text); ok {
		present := r.mapping(body, fields{
			"team": func(v value) {
				team, _ := r.text(v)
				parsed.Team = model.TeamName(team)
			},
			"steps": func(v value) { parsed.Steps = r.steps(v) },
		})
		if _, ok := present["team"]; !ok {
			r.addf(body, "team is missing")
		}
		if len(parsed.Steps) == 0 {
			r.addf(body, "steps are missing")
		}
	}
	r.list.Sort()
	return parsed, truncateFindings(r.list, source)
}

func (r *reader) steps(v value) []runbook.Step {
	var steps []runbook.Step
	for _, item := range r.items(v) {
		steps = append(steps, r.step(item))
	}
	if len(steps) > maxSteps {
		r.addf(v, "%d steps are more than the limit of %d", len(steps), maxSteps)
	}
	return steps
}

// firstKey returns the first key of a mapping, or the value itself if it is not a
// mapping or is empty.
func firstKey(v value) value {
	switch node := v.node.(type) {
	case *ast.MappingNode:
		if len(node.Values) > 0 {
			return value{node: node.Values[0].Key, path: v.path}
		}
	case *ast.MappingValueNode:
		return value{node: node.Key, path: v.path}
	}
	return v
}

// step takes the location of the step from its first key.
func (r *reader) step(v value) runbook.Step {
	s := runbook.Step{Location: r.location(firstKey(v)), Timeout: DefaultStepTimeout, Arguments: map[string]string{}}
	present := r.mapping(v, fields{
		"command": func(v value) { s.Command, _ = r.text(v) },
		"timeout": func(v value) { s.Timeout = r.duration(v, stepTimeoutRange) },
		"with": func(v value) {
			for _, e := range r.entries(v) {
				s.Arguments[e.name] = r.scalar(e.value)
			}
		},
	})
	if _, ok := present["command"]; !ok {
		r.addf(v, "command is missing")
	}
	return s
}
