package ctl

import (
	"context"

	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// fleet reads the state of the selected nodes with regard to one subtree.
type fleet struct {
	flags  *nodeFlags
	client *status.Client
	key    model.Key
}

// states queries all selected nodes.
func (f *fleet) states(ctx context.Context) []nodeResult[runbook.NodeState] {
	addresses := f.flags.addresses(ctx, f.client)
	return queryAll(addresses, func(address string) (runbook.NodeState, error) { return f.state(ctx, address) })
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
			state.Held = status.Version{Held: []model.HeldSubtree{held}}.HeldText()
		}
	}
	return state, nil
}
