package ctl

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// maxPrintedReasons is the maximum number of reasons printed for an unmet outcome.
const maxPrintedReasons = 5

// runbookRun is the command that runs a runbook.
type runbookRun struct {
	runbookFiles
	nodeFlags
	From     int           `help:"Begin at this step; the steps before it are assumed to be done." default:"1"`
	Interval time.Duration `help:"Time between two queries of the nodes." default:"1s"`
}

// Run implements the command.
func (c *runbookRun) Run(w io.Writer) error {
	p, err := c.load()
	if err != nil {
		return err
	}
	if c.From < 1 || c.From > len(p.actions) {
		return cli.UsageError{Err: fmt.Errorf("--from=%d is not within 1 to %d", c.From, len(p.actions))}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := status.NewClient(c.Timeout)
	defer client.Close()
	r := runner{
		plan:     p,
		fleet:    fleet{flags: &c.nodeFlags, client: client, key: model.TeamKey(p.team)},
		interval: c.Interval,
		out:      w,
	}
	for i := c.From - 1; i < len(p.actions); i++ {
		if err := r.runStep(ctx, i); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "all %d steps are done\n", len(p.actions))
	return nil
}

// runner runs the steps of a plan. It never publishes a document itself: it prints which
// document the operator must publish and waits for the outcome.
type runner struct {
	plan     *plan
	fleet    fleet
	interval time.Duration
	out      io.Writer
}

// runStep waits until the outcome of one action holds on all nodes. A step whose
// outcome already holds needs no publication and counts as done. It returns an error if
// the outcome does not hold within the action's timeout.
func (r *runner) runStep(ctx context.Context, i int) error {
	action := r.plan.actions[i]
	expected := runbook.ExpectedLeaves(action.Set, i, r.plan.states)
	deadline := time.Now().Add(action.Timeout)
	var printed []string
	for {
		unmet := r.unmet(ctx, action, expected)
		if ctx.Err() != nil {
			return eris.Errorf("step %d, %s: interrupted", action.Number, action.Command)
		}
		if len(unmet) == 0 {
			fmt.Fprintf(r.out, "step %d, %s: done\n", action.Number, action.Command)
			return nil
		}
		if printed == nil {
			r.printWaiting(action)
		}
		if !slices.Equal(unmet, printed) {
			r.printUnmet(unmet)
			printed = unmet
		}
		if !time.Now().Before(deadline) {
			return eris.Errorf("step %d, %s: the outcome does not hold after %s at %d of the nodes, first: %s",
				action.Number, action.Command, action.Timeout, len(unmet), unmet[0])
		}
		_ = clock.Wait(ctx, clock.System{}, r.interval) // the loop checks ctx.Err
	}
}

// printWaiting prints that a step is waiting and, if it changes the document, how to
// print the document to publish.
func (r *runner) printWaiting(a runbook.Action) {
	fmt.Fprintf(r.out, "step %d, %s: waiting up to %s\n", a.Number, a.Command, a.Timeout)
	if len(a.Set) > 0 {
		fmt.Fprintf(r.out, "  publish the document that this prints: galenactl runbook plan --step=%d\n", a.Number)
	}
}

// unmet returns why the outcome does not hold, one reason for each node that lacks it,
// sorted; none means that the outcome holds. The state of a node that does not respond
// is unknown, so it counts as unmet unless the other nodes report that its instance has
// left.
func (r *runner) unmet(ctx context.Context, a runbook.Action, expected []runbook.ExpectedLeaf) []string {
	results := r.fleet.states(ctx)
	states := successfulValues(results)
	reasons := runbook.Unmet(a.Expect, expected, states)
	for _, result := range results {
		if result.err != nil && !runbook.HasLeft(result.address, states) {
			reasons = append(reasons, fmt.Sprintf("%s: no answer: %v", result.address, result.err))
		}
	}
	if len(states) == 0 && len(reasons) == 0 {
		reasons = append(reasons, "no node answered")
	}
	slices.Sort(reasons)
	return reasons
}

// printUnmet prints the number of nodes that lack the outcome and the reasons at the
// first maxPrintedReasons of them.
func (r *runner) printUnmet(unmet []string) {
	fmt.Fprintf(r.out, "  nodes that lack the outcome: %d\n", len(unmet))
	for _, reason := range unmet[:min(len(unmet), maxPrintedReasons)] {
		fmt.Fprintf(r.out, "    %s\n", reason)
	}
}
