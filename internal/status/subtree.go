package status

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/galenalever/galenalever/internal/model"
)

// PathSubtree serves one running subtree; the query gives its key.
const PathSubtree = "/subtree"

// Subtree is the response to PathSubtree.
type Subtree struct {
	Key      model.Key      `json:"key"`
	Revision model.Revision `json:"revision"`
	// Leaves holds the canonical values by leaf path. It is empty if the node
	// runs no subtree of the key.
	Leaves map[string]json.RawMessage `json:"leaves"`
}

// NewSubtree returns the running subtree of a key. The configuration may be
// nil.
func NewSubtree(c *model.Configuration, key model.Key) Subtree {
	out := Subtree{Key: key, Leaves: make(map[string]json.RawMessage)}
	if c == nil {
		return out
	}
	running, ok := c.Running[key]
	if !ok {
		return out
	}
	out.Revision = running.Revision
	for _, leaf := range running.Leaves {
		out.Leaves[leaf.Path] = leaf.Value
	}
	return out
}

// Subtree asks the node at an operator address for the running subtree of a key.
func (c *Client) Subtree(ctx context.Context, address string, key model.Key) (Subtree, error) {
	var s Subtree
	err := c.get(ctx, address, PathSubtree+"?key="+url.QueryEscape(string(key)), &s)
	return s, err
}
