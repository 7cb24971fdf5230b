package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

const (
	// warmupListingInterval is the time between two listings of a server that stays cold.
	warmupListingInterval = 1500 * time.Millisecond
	// warmupPollInterval is the time between two looks at the servers.
	warmupPollInterval = 50 * time.Millisecond
)

// listed is the last listing of a node on the platform.
type listed struct {
	mu    sync.Mutex
	state string // empty before the first one
	cold  bool
	at    time.Time
}

// list lists the instance on the platform.
func (n *Node) list(state string) {
	n.listed.mu.Lock()
	defer n.listed.mu.Unlock()
	n.putListing(state)
}

// listWarmup lists a live instance again if the warm-up of its server began or ended, or
// if it goes on and the last listing is old.
func (n *Node) listWarmup() {
	n.listed.mu.Lock()
	defer n.listed.mu.Unlock()
	cold := n.Backend.WarmupLeft() > 0
	due := cold != n.listed.cold || cold && time.Since(n.listed.at) >= warmupListingInterval
	if due && n.listed.state == platform.StateLive {
		n.putListing(n.listed.state)
	}
}

// putListing requires that the lock of n.listed is held.
func (n *Node) putListing(state string) {
	instance := n.listing(state)
	n.listed.state, n.listed.cold, n.listed.at = state, instance.WarmupLeftMS > 0, time.Now()
	n.mesh.Platform.PutInstance(instance)
}

// listWarmups keeps the listed warm-ups up to date until the context ends.
func (m *Mesh) listWarmups(ctx context.Context) {
	for clock.Wait(ctx, clock.System{}, warmupPollInterval) == nil {
		for _, n := range m.Nodes {
			n.listWarmup()
		}
	}
}
