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

// maxReasons bounds the unmet nodes that are printed.
const maxReasons = 5

type runbookRun struct {
	runbookFiles
	nodeFlags
	From     int           `help:"Begin at this step; the steps before it are taken as done." default:"1"`
	Interval time.Duration `help:"Time between two looks at the fleet." default:"1s"`
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
		if err := r.step(ctx, i); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "all %d steps are done\n", len(p.actions))
	return nil
}

// runner goes through a plan. It never publishes; it tells the operator what to
// publish and waits.
type runner struct {
	plan     *plan
	fleet    fleet
	interval time.Duration
	out      io.Writer
}

// step waits until the outcome of one action holds on all nodes. An outcome
// that holds already counts as done.
func (r *runner) step(ctx context.Context, i int) error {
	action := r.plan.actions[i]
	want := runbook.ExpectedLeaves(action.Set, i, r.plan.states)
	deadline := time.Now().Add(action.Timeout)
	var printed []string
	for {
		unmet := r.unmet(ctx, action, want)
		if ctx.Err() != nil {
			return eris.Errorf("step %d, %s: interrupted", action.Number, action.Command)
		}
		if len(unmet) == 0 {
			fmt.Fprintf(r.out, "step %d, %s: done\n", action.Number, action.Command)
			return nil
		}
		if printed == nil {
			r.announce(action)
		}
		if !slices.Equal(unmet, printed) {
			r.progress(unmet)
			printed = unmet
		}
		if !time.Now().Before(deadline) {
			return eris.Errorf("step %d, %s: the outcome does not hold after %s at %d of the nodes, first: %s",
				action.Number, action.Command, action.Timeout, len(unmet), unmet[0])
		}
		_ = clock.Wait(ctx, clock.System{}, r.interval) // the loop checks the context
	}
}

// announce tells the operator what a step that is not done waits for.
func (r *runner) announce(a runbook.Action) {
	fmt.Fprintf(r.out, "step %d, %s: waiting up to %s\n", a.Number, a.Command, a.Timeout)
	if len(a.Set) > 0 {
		fmt.Fprintf(r.out, "  publish the document that this prints: galenactl runbook plan --step=%d\n", a.Number)
	}
}

// unmet returns why the outcome does not hold, in the order of the instances.
// It is not known at a node that does not answer, so that counts as unmet.
func (r *runner) unmet(ctx context.Context, a runbook.Action, want []runbook.ExpectedLeaf) []string {
	replies := r.fleet.states(ctx)
	states := answered(replies)
	reasons := runbook.Unmet(a.Expect, want, states)
	for _, reply := range replies {
		if reply.err != nil && !runbook.HasLeft(reply.address, states) {
			reasons = append(reasons, fmt.Sprintf("%s: no answer: %v", reply.address, reply.err))
		}
	}
	if len(states) == 0 && len(reasons) == 0 {
		reasons = append(reasons, "no node answered")
	}
	slices.Sort(reasons)
	return reasons
}

func (r *runner) progress(unmet []string) {
	fmt.Fprintf(r.out, "  nodes that lack the outcome: %d\n", len(unmet))
	for _, reason := range unmet[:min(len(unmet), maxReasons)] {
		fmt.Fprintf(r.out, "    %s\n", reason)
	}
}
