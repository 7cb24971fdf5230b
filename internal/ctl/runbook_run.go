package ctl

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

const (
	// outcomeInterval is the time between two looks at the fleet.
	outcomeInterval = time.Second
	// maxReasons bounds the unmet nodes that are printed.
	maxReasons = 5
)

type runbookRun struct {
	runbookFiles
	nodeFlags
}

// Run implements the command.
func (c *runbookRun) Run(w io.Writer) error {
	p, err := c.load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r := runner{plan: p, fleet: fleet{flags: &c.nodeFlags, client: status.NewClient(c.Timeout), key: model.TeamKey(p.team)}, out: w}
	for i := range p.actions {
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
	plan  *plan
	fleet fleet
	out   io.Writer
}

// step waits until the outcome of one action holds on all nodes. An outcome
// that holds already counts as done.
func (r *runner) step(ctx context.Context, i int) error {
	action := r.plan.actions[i]
	want, err := r.wanted(i)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(action.Timeout)
	for look := 0; ; look++ {
		unmet := r.unmet(ctx, action, want)
		if len(unmet) == 0 {
			fmt.Fprintf(r.out, "step %d, %s: done\n", action.Number, action.Command)
			return nil
		}
		if look == 0 {
			fmt.Fprintf(r.out, "step %d, %s: waiting up to %s; the document to publish is shown by: runbook plan --step=%d\n",
				action.Number, action.Command, action.Timeout, action.Number)
		}
		r.progress(unmet)
		if time.Now().After(deadline) {
			return eris.Errorf("step %d, %s: the outcome does not hold after %s", action.Number, action.Command, action.Timeout)
		}
		if !waitFor(ctx, outcomeInterval) {
			return eris.Wrapf(ctx.Err(), "step %d, %s", action.Number, action.Command)
		}
	}
}

func (r *runner) wanted(i int) ([]model.Leaf, error) {
	leaves, list := document.ParseTeam("plan", r.plan.team, r.plan.documents[i])
	return runbook.Touched(r.plan.actions[i].Set, leaves), list.Err()
}

// unmet returns why the outcome does not hold. It is not known at a node that
// does not answer, so that counts as unmet.
func (r *runner) unmet(ctx context.Context, a runbook.Action, want []model.Leaf) []string {
	replies := r.fleet.states(ctx)
	reasons := runbook.Unmet(a.Expect, want, answered(replies))
	for _, reply := range replies {
		if reply.err != nil {
			reasons = append(reasons, fmt.Sprintf("%s: no answer: %v", reply.address, reply.err))
		}
	}
	return reasons
}

func (r *runner) progress(unmet []string) {
	fmt.Fprintf(r.out, "  %d nodes lack the outcome:\n", len(unmet))
	for _, reason := range unmet[:min(len(unmet), maxReasons)] {
		fmt.Fprintf(r.out, "    %s\n", reason)
	}
}

// fleet reads what the nodes report of one key.
type fleet struct {
	flags  *nodeFlags
	client *status.Client
	key    model.Key
}

// states asks all nodes.
func (f *fleet) states(ctx context.Context) []reply[runbook.NodeState] {
	addresses := f.flags.addresses(ctx, f.client)
	return ask(addresses, func(address string) (runbook.NodeState, error) { return f.state(ctx, address) })
}

func (f *fleet) state(ctx context.Context, address string) (runbook.NodeState, error) {
	report, err := f.client.Report(ctx, address)
	if err != nil {
		return runbook.NodeState{}, err
	}
	subtree, err := f.client.Subtree(ctx, address, f.key)
	if err != nil {
		return runbook.NodeState{}, err
	}
	members, err := f.client.Members(ctx, address)
	if err != nil {
		return runbook.NodeState{}, err
	}
	state := runbook.NodeState{Instance: report.Instance, Members: members, Leaves: make(map[string][]byte)}
	for path, value := range subtree.Leaves {
		state.Leaves[path] = value
	}
	for _, held := range report.Version.Held {
		if held.Key == f.key {
			state.Held = status.Version{Held: []model.Held{held}}.HeldText()
		}
	}
	return state, nil
}
