package exchange

import (
	"sync"

	"github.com/galenalever/galenalever/internal/decision/members"
)

// maxCursors bounds the number of nodes whose log positions are kept.
const maxCursors = 64

// cursors holds the positions up to which the member logs of other nodes were
// received, by control address. It is safe for concurrent use.
type cursors struct {
	mu        sync.Mutex
	byAddress map[string]members.Cursor
}

func newCursors() *cursors {
	return &cursors{byAddress: make(map[string]members.Cursor)}
}

// get returns the zero cursor for an unknown node.
func (c *cursors) get(address string) members.Cursor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byAddress[address]
}

// set stores the cursor of a node. If there would be more than maxCursors, it drops all
// others; those nodes are then compared by digests again.
func (c *cursors) set(address string, cursor members.Cursor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.byAddress[address]; !known && len(c.byAddress) >= maxCursors {
		clear(c.byAddress)
	}
	c.byAddress[address] = cursor
}
