package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// runbookCommand are the commands on runbooks.
type runbookCommand struct {
	Check runbookCheck `cmd:"" help:"Check a runbook and report all findings."`
	Plan  runbookPlan  `cmd:"" help:"Print the document to publish."`
	Run   runbookRun   `cmd:"" help:"Run the steps in order and wait until the outcome of each holds on all nodes."`
}

// runbookFiles are the input files of every runbook command.
type runbookFiles struct {
	Runbook  string `arg:"" help:"Runbook file."`
	Document string `help:"File with the team's document as published before the first step." env:"GALENA_DOCUMENT" required:""`
}

// plan is a runbook that was checked against the team's document.
type plan struct {
	team    model.TeamName
	actions []runbook.Action
	// documents holds the text to publish for each action, in order.
	documents [][]byte
	// states holds the leaves before the first step and after each step.
	states [][]model.Leaf
}

// runbookCheck is the command that checks a runbook.
type runbookCheck struct{ runbookFiles }

// Run implements the command.
func (c *runbookCheck) Run(w io.Writer) error {
	p, err := c.load()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: %d steps, no findings\n", c.Runbook, len(p.actions))
	return err
}

// runbookPlan is the command that prints the document to publish for a step.
type runbookPlan struct {
	runbookFiles
	Step int `help:"Print the document after this step; 0 means after the last step."`
}

// Run implements the command.
func (c *runbookPlan) Run(w io.Writer) error {
	p, err := c.load()
	if err != nil {
		return err
	}
	step := c.Step
	if step == 0 {
		step = len(p.documents)
	}
	if step < 1 || step > len(p.documents) {
		return cli.UsageError{Err: fmt.Errorf("--step=%d is not within 1 to %d", c.Step, len(p.documents))}
	}
	_, err = w.Write(p.documents[step-1])
	return err
}

// load reads and checks the files. If there are findings, the error contains all of them.
func (f *runbookFiles) load() (*plan, error) {
	text, err := os.ReadFile(f.Runbook)
	if err != nil {
		return nil, cli.UsageError{Err: err}
	}
	current, err := os.ReadFile(f.Document)
	if err != nil {
		return nil, cli.UsageError{Err: err}
	}
	p, list := newPlan(f.Runbook, text, f.Document, current)
	if len(list) > 0 {
		list.Sort()
		return nil, cli.UsageError{Err: list.Err()}
	}
	return p, nil
}

// newPlan checks a runbook against the document and returns all findings that can be
// determined; with findings, the plan is nil or incomplete.
func newPlan(runbookFile string, text []byte, documentFile string, current []byte) (*plan, findings.List) {
	book, list := document.ParseRunbook(runbookFile, text)
	if book.Team == "" {
		return nil, list
	}
	leaves, documentFindings := document.ParseTeam(documentFile, book.Team, current)
	if len(documentFindings) > 0 {
		return nil, append(list, documentFindings...)
	}
	vocabulary, err := commandsOf(book.Team, leaves)
	if err != nil {
		list.Addf(findings.Location{Source: documentFile}, "%v", err)
		return nil, list
	}
	p := &plan{team: book.Team, states: [][]model.Leaf{leaves}}
	var bindFindings findings.List
	p.actions, bindFindings = runbook.Bind(book, vocabulary)
	list = append(list, bindFindings...)
	if len(list) > 0 {
		return nil, list
	}
	return p, p.applyActions(book, current)
}

func commandsOf(team model.TeamName, leaves []model.Leaf) ([]*model.Command, error) {
	declarations, err := document.Decode(&model.Subtree{Key: model.TeamKey(team), Leaves: leaves})
	if err != nil {
		return nil, err
	}
	return declarations.Commands, nil
}

// applyActions applies the actions in order and checks the document after each. A
// finding that persists over several steps is reported only for the first.
func (p *plan) applyActions(book *runbook.Runbook, text []byte) findings.List {
	var list findings.List
	reported := make(map[string]bool)
	for i, action := range p.actions {
		location := book.Steps[i].Location
		edited, err := document.Edit(text, action.Set)
		if err != nil {
			list.Addf(location, "step %d: %v", action.Number, err)
			continue
		}
		leaves, documentFindings := document.ParseTeam("", book.Team, edited)
		for _, finding := range documentFindings {
			message := finding.Location.Path + ": " + finding.Message
			if !reported[message] {
				list.Addf(location, "step %d makes a faulty document: %s", action.Number, message)
			}
			reported[message] = true
		}
		text = edited
		p.documents = append(p.documents, edited)
		p.states = append(p.states, leaves)
	}
	return list
}
