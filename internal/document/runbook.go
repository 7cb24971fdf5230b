package document

import (
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// DefaultStepTimeout is how long a step waits for its outcome.
const DefaultStepTimeout = time.Minute

// maxSteps bounds one runbook.
const maxSteps = 200

// stepTimeoutRange bounds the wait for a step; 0 looks at the fleet once.
var stepTimeoutRange = durationRange{0, 24 * time.Hour}

// ParseRunbook parses a runbook. Source names the file in findings.
func ParseRunbook(source string, text []byte) (*runbook.Runbook, findings.List) {
	r := &reader{source: source}
	book := &runbook.Runbook{}
	if body, ok := r.parse(text); ok {
		present := r.mapping(body, fields{
			"team": func(v value) {
				team, _ := r.text(v)
				book.Team = model.TeamName(team)
			},
			"steps": func(v value) { book.Steps = r.steps(v) },
		})
		if _, ok := present["team"]; !ok {
			r.addf(body, "team is missing")
		}
		if len(book.Steps) == 0 {
			r.addf(body, "steps are missing")
		}
	}
	r.list.Sort()
	return book, bounded(r.list, source)
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

// firstKey returns the first key of a mapping, or the value itself if it is
// none.
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

func (r *reader) step(v value) runbook.Step {
	s := runbook.Step{Place: r.place(firstKey(v)), Timeout: DefaultStepTimeout, Arguments: map[string]string{}}
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
