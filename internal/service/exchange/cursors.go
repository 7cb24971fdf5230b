package exchange

import (
	"sync"

	"github.com/galenalever/galenalever/internal/decision/members"
)

// maxCursors bounds the remembered places in the logs of other nodes.
const maxCursors = 64

// cursors remembers up to where the member logs of other nodes were received.
// It is safe for concurrent use.
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

func (c *cursors) set(address string, cursor members.Cursor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.byAddress[address]; !known && len(c.byAddress) >= maxCursors {
		clear(c.byAddress)
	}
	c.byAddress[address] = cursor
}
