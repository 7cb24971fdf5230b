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

type runbookCommand struct {
	Check runbookCheck `cmd:"" help:"Report all faults of a runbook."`
	Plan  runbookPlan  `cmd:"" help:"Print the document to publish."`
	Run   runbookRun   `cmd:"" help:"Go step by step and wait for each outcome on the fleet."`
}

// runbookFiles name the input of every runbook command.
type runbookFiles struct {
	Runbook  string `arg:"" help:"File of the runbook." type:"existingfile"`
	Document string `help:"File of the team's document as it is published now." required:"" type:"existingfile"`
}

// plan is a checked runbook.
type plan struct {
	team    model.TeamName
	actions []runbook.Action
	// documents holds the text to publish for each action, in order.
	documents [][]byte
}

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

type runbookPlan struct {
	runbookFiles
	Step int `help:"Print the document after this step; 0 means after the last."`
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

// load reads and checks the files and reports all findings together.
func (f *runbookFiles) load() (*plan, error) {
	text, err := os.ReadFile(f.Runbook)
	if err != nil {
		return nil, err
	}
	current, err := os.ReadFile(f.Document)
	if err != nil {
		return nil, err
	}
	book, list := document.ParseRunbook(f.Runbook, text)
	vocabulary, more := readVocabulary(f.Document, book.Team, current)
	list = append(list, more...)
	if len(list) > 0 {
		return nil, cli.UsageError{Err: list.Err()}
	}
	p := &plan{team: book.Team}
	p.actions, list = runbook.Bind(book, vocabulary)
	if len(list) == 0 {
		p.documents, list = documents(book, p.actions, current)
	}
	if len(list) > 0 {
		return nil, cli.UsageError{Err: list.Err()}
	}
	return p, nil
}

func readVocabulary(source string, team model.TeamName, text []byte) ([]*model.Command, findings.List) {
	leaves, list := document.ParseTeam(source, team, text)
	if len(list) > 0 {
		return nil, list
	}
	declarations, err := document.Decode(&model.Subtree{Key: model.TeamKey(team), Leaves: leaves})
	if err != nil {
		list.Addf(findings.Place{Source: source}, "%v", err)
		return nil, list
	}
	return declarations.Commands, nil
}

// documents applies the actions one after another and checks each result.
func documents(book *runbook.Runbook, actions []runbook.Action, text []byte) ([][]byte, findings.List) {
	var out [][]byte
	var list findings.List
	for i, action := range actions {
		place := book.Steps[i].Place
		edited, err := document.Edit(text, action.Set)
		if err != nil {
			list.Addf(place, "step %d: %v", action.Number, err)
			continue
		}
		_, faults := document.ParseTeam("", book.Team, edited)
		for _, fault := range faults {
			list.Addf(place, "step %d makes a faulty document: %s: %s", action.Number, fault.Place.Path, fault.Message)
		}
		text = edited
		out = append(out, edited)
	}
	return out, list
}
