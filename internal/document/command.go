package document

import (
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/galenalever/galenalever/internal/model"
)

// maxCommands bounds the runbook commands of one team.
const maxCommands = 500

// parameterPattern matches a reference to a parameter, such as ${slots}.
var parameterPattern = regexp.MustCompile(`\$\{([^}]*)\}`)

// settablePaths are the top-level fields of a team's document that a command
// may change.
var settablePaths = []string{"services", "routes"}

func (t *teamReader) commands(v value) {
	t.namedEntries(v, func(name string, v value) {
		t.parsedCommands = append(t.parsedCommands, t.command(name, v))
	})
	if len(t.parsedCommands) > maxCommands {
		t.addf(v, "%d commands are more than the limit of %d", len(t.parsedCommands), maxCommands)
	}
}

func (t *teamReader) command(name string, v value) *model.Command {
	c := &model.Command{Team: t.team, Name: name}
	t.mapping(v, fields{
		"help":       func(v value) { c.Help, _ = t.text(v) },
		"parameters": func(v value) { c.Parameters = t.texts(v, t.checkParameter) },
		"set":        func(v value) { c.Set = t.settings(v) },
		"expect":     func(v value) { c.Expect = t.expectation(v) },
	})
	t.checkExpectation(v, c)
	t.checkReferences(v, c)
	return c
}

// checkExpectation reports a command whose expectation cannot show that the command
// is done: none at all, a change without in_force, or in_force without a change.
func (t *teamReader) checkExpectation(v value, c *model.Command) {
	switch {
	case c.Expect == (model.Expectation{}):
		t.addf(v, "expect is missing: a command must declare the outcome to wait for")
	case len(c.Set) > 0 && !c.Expect.InForce:
		t.addf(v, "set needs in_force in expect, or the next step could begin before the change runs")
	case len(c.Set) == 0 && c.Expect.InForce:
		t.addf(v, "in_force needs set: without a change there is nothing to wait for")
	}
}

// checkParameter reports an invalid parameter name and returns whether it is valid.
func (t *teamReader) checkParameter(v value, name string) bool {
	if !isName(name) {
		t.addf(v, "%s is not a parameter name", quote(name))
		return false
	}
	return true
}

// settings reads a mapping of dotted paths to values. It leaves out invalid paths and
// empty values.
func (t *teamReader) settings(v value) []model.Setting {
	var out []model.Setting
	for _, e := range t.entries(v) {
		top, rest, _ := strings.Cut(e.name, ".")
		if !slices.Contains(settablePaths, top) || rest == "" {
			t.addf(e.key, "%s is not beneath %s", quote(e.name), strings.Join(settablePaths, " or "))
			continue
		}
		if kindOf(e.value.node) == kindEmpty {
			t.addf(e.key, "%s has no value", quote(e.name))
			continue
		}
		text := settingText(e.value.node)
		if strings.ContainsAny(text, "\r\n") {
			t.addf(e.key, "the value must be on one line: write mappings in braces and lists in brackets")
		}
		out = append(out, model.Setting{Path: e.name, Value: text})
	}
	return out
}

// scalar reads a single-line string, number or boolean and returns it as text. It
// returns "" for another type or several lines.
func (r *reader) scalar(v value) string {
	switch v.node.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
	default:
		r.addf(v, "must be text, a number, true or false, not %s", kindOf(v.node))
		return ""
	}
	text := settingText(v.node)
	if strings.ContainsAny(text, "\r\n") {
		r.addf(v, "must be on one line")
		return ""
	}
	return text
}

// settingText returns the YAML text of a value. Strings are returned unquoted,
// so that a parameter such as "${slots}" can be replaced by a number.
func settingText(node ast.Node) string {
	if text, ok := node.(*ast.StringNode); ok {
		return text.Value
	}
	return node.String()
}

func (t *teamReader) expectation(v value) model.Expectation {
	var e model.Expectation
	t.mapping(v, fields{
		"in_force": func(v value) { e.InForce = t.boolean(v) },
		"present":  func(v value) { t.presentExpectation(v, &e) },
		"absent":   func(v value) { t.absentExpectation(v, &e) },
	})
	return e
}

func (t *teamReader) presentExpectation(v value, e *model.Expectation) {
	present := t.mapping(v, fields{
		"service":  func(v value) { e.PresentService, _ = t.text(v) },
		"at_least": func(v value) { e.PresentAtLeast = t.scalar(v) },
	})
	if len(present) != 2 {
		t.addf(v, "present needs service and at_least")
	}
}

func (t *teamReader) absentExpectation(v value, e *model.Expectation) {
	t.mapping(v, fields{
		"instance": func(v value) { e.AbsentInstance, _ = t.text(v) },
	})
}

// checkReferences reports references to parameters that are not declared.
func (t *teamReader) checkReferences(v value, c *model.Command) {
	texts := []string{c.Expect.PresentService, c.Expect.PresentAtLeast, c.Expect.AbsentInstance}
	for _, s := range c.Set {
		texts = append(texts, s.Path, s.Value)
	}
	for _, text := range texts {
		for _, match := range parameterPattern.FindAllStringSubmatch(text, -1) {
			if !slices.Contains(c.Parameters, match[1]) {
				t.addf(v, "%s is not one of the parameters", quote(match[0]))
			}
		}
	}
}
