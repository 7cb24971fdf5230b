// Package runbook decides what the steps of a runbook change and whether the
// outcome of a step holds on the fleet. It is pure: no I/O, no clock.
package runbook

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// Runbook is a procedure of one team.
type Runbook struct {
	Team  model.TeamName
	Steps []Step
}

// Step calls one command of the team's vocabulary, by the name that it has in the old
// tool.
type Step struct {
	Location findings.Location
	Command  string
	// Arguments are the values of the command's parameters.
	Arguments map[string]string
	// Timeout bounds the wait for the outcome; 0 checks it once, without waiting.
	Timeout time.Duration
}

// Action is a step with its command's parameters filled in.
type Action struct {
	// Number counts the steps from 1.
	Number  int
	Command string
	Timeout time.Duration
	Set     []model.Setting
	Expect  Goal
}

// Goal is an expectation with its parameters filled in.
type Goal struct {
	// InForce requires that the changes of the step are in force.
	InForce bool
	// Service is the service of which AtLeast servers must be present; empty if none
	// need be.
	Service model.ServiceName
	AtLeast int
	// Absent is the instance that must not be present; empty if there is none.
	Absent model.InstanceID
}

// Bind looks up the command of every step in the vocabulary and substitutes the
// step's arguments for its parameters. The findings name the file, line and step.
// The actions must be used only if there are none.
func Bind(book *Runbook, vocabulary []*model.Command) ([]Action, findings.List) {
	var list findings.List
	byName := make(map[string]*model.Command, len(vocabulary))
	for _, c := range vocabulary {
		byName[c.Name] = c
	}
	actions := make([]Action, 0, len(book.Steps))
	for i, step := range book.Steps {
		b := binder{step: step, number: i + 1, list: &list}
		if step.Command == "" {
			continue // the parser has reported it
		}
		command, ok := byName[step.Command]
		if !ok {
			known := strings.Join(slices.Sorted(maps.Keys(byName)), ", ")
			b.addf("command %q is not in the vocabulary of team %s; known are: %s", step.Command, book.Team, cmp.Or(known, "none"))
			continue
		}
		actions = append(actions, b.bind(command))
	}
	return actions, list
}

// binder binds one step and collects its findings.
type binder struct {
	step   Step
	number int
	list   *findings.List
}

func (b *binder) addf(format string, args ...any) {
	b.list.Addf(b.step.Location, "step %d: %s", b.number, fmt.Sprintf(format, args...))
}

func (b *binder) bind(c *model.Command) Action {
	b.checkArguments(c)
	a := Action{Number: b.number, Command: c.Name, Timeout: b.step.Timeout, Expect: b.goal(c)}
	for _, s := range c.Set {
		a.Set = append(a.Set, model.Setting{Path: b.substitute(s.Path), Value: b.substitute(s.Value)})
	}
	return a
}

func (b *binder) checkArguments(c *model.Command) {
	for _, name := range c.Parameters {
		if _, ok := b.step.Arguments[name]; !ok {
			b.addf("parameter %q of command %q has no value", name, c.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.step.Arguments)) {
		if !slices.Contains(c.Parameters, name) {
			b.addf("command %q has no parameter %q", c.Name, name)
		}
	}
}

func (b *binder) goal(c *model.Command) Goal {
	e := c.Expect
	g := Goal{InForce: e.InForce, Absent: model.InstanceID(b.substitute(e.AbsentInstance))}
	if e.PresentService == "" {
		return g
	}
	g.Service = model.NewServiceName(c.Team, b.substitute(e.PresentService))
	count, err := strconv.Atoi(b.substitute(e.PresentAtLeast))
	if err != nil || count < 1 {
		b.addf("%q is not a number of servers", b.substitute(e.PresentAtLeast))
	}
	g.AtLeast = count
	return g
}

// substitute replaces ${parameter} by its argument. Arguments are not
// substituted again.
func (b *binder) substitute(text string) string {
	pairs := make([]string, 0, 2*len(b.step.Arguments))
	for name, argument := range b.step.Arguments {
		pairs = append(pairs, "${"+name+"}", argument)
	}
	return strings.NewReplacer(pairs...).Replace(text)
}
