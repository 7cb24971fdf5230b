package chaos

import (
	"context"
	"strconv"

	"github.com/galenalever/galenalever/internal/standin/flood"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// callerConnections is the nodes' limit of callers' connections: more than the load
	// needs, and less than a flood has clients.
	callerConnections = 72
	// floodClients is the number of hostile clients of a flood.
	floodClients = 96
)

// floodArguments returns the nodes' command-line arguments with the limit.
func floodArguments() []string {
	return []string{"--caller-connections", strconv.Itoa(callerConnections)}
}

// floodNode lets hostile clients occupy a port of a node for a random time, all with
// requests of the same form. Unlike other failures it excuses no loss of another request.
func (i *injector) floodNode(ctx context.Context) {
	n := i.mesh.Nodes[i.random.IntN(len(i.mesh.Nodes))]
	targets, forms := floodTargets(n.Addresses()), flood.Forms()
	target, form := targets[i.random.IntN(len(targets))], forms[i.random.IntN(len(forms))]
	if !n.Running() {
		return // another process may listen at the address
	}
	i.logf("flood %s%s of %s: %s", target.Address, target.Path, n.ID, form.Name)
	f := flood.Start(target, form, floodClients)
	i.repairLater(ctx, func() {
		f.Stop()
		i.logf("end of the flood of %s, %d clients not connected", n.ID, f.Refused())
	})
}

// floodTargets returns the paths that outside clients may reach.
func floodTargets(a mesh.Addresses) []flood.Target {
	return []flood.Target{
		{Address: a.Callers, Host: host, Path: "/lots/"},
		{Address: a.Callers, Host: host, Path: "/photographs/"},
		{Address: a.Callers, Host: host, Path: "/unknown"},
		{Address: a.Operator, Host: a.Operator, Path: "/readyz"},
		{Address: a.Operator, Host: a.Operator, Path: "/status"},
		{Address: a.Control, Host: a.Control, Path: "/twirp/galenalever.wire.Exchange/Announce"},
		{Address: a.Traffic, Host: a.Traffic, Path: "/lots/"},
		{Address: a.Traffic, Host: a.Traffic, Path: "/twirp/galenalever.wire.Gate/HandOver"},
	}
}
