package runbook

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
)

// NodeState is what one node of the fleet reports.
type NodeState struct {
	Instance model.InstanceID
	// Leaves are the values of the team's running subtree by leaf path.
	Leaves map[string][]byte
	// Held tells why the team's newest subtree is not in force; empty if it is.
	Held string
	// Members are the instances that the node knows.
	Members []model.Member
}

// Unmet returns why the goal does not hold yet, one entry for each node that
// lacks something. It is empty when the goal holds on all nodes. Want holds the
// leaves that the action's settings result in.
func Unmet(g Goal, want []model.Leaf, nodes []NodeState) []string {
	var reasons []string
	for _, node := range nodes {
		if reason := unmetAt(g, want, node); reason != "" {
			reasons = append(reasons, fmt.Sprintf("%s: %s", node.Instance, reason))
		}
	}
	return reasons
}

func unmetAt(g Goal, want []model.Leaf, node NodeState) string {
	if g.InForce {
		if reason := missingLeaf(want, node); reason != "" {
			return reason
		}
	}
	if g.Service != "" {
		if n := presentServers(g.Service, node.Members); n < g.AtLeast {
			return fmt.Sprintf("%d of %d servers of %s are present", n, g.AtLeast, g.Service)
		}
	}
	if g.Absent != "" && isPresent(g.Absent, node.Members) {
		return fmt.Sprintf("%s still takes new requests", g.Absent)
	}
	return ""
}

func missingLeaf(want []model.Leaf, node NodeState) string {
	for _, leaf := range want {
		if bytes.Equal(node.Leaves[leaf.Path], leaf.Value) {
			continue
		}
		if node.Held != "" {
			return "the published version is held back: " + node.Held
		}
		return leaf.Path + " is not in force yet"
	}
	return ""
}

func presentServers(service model.ServiceName, members []model.Member) int {
	count := 0
	for _, m := range members {
		if m.Service == service && m.Present() {
			count++
		}
	}
	return count
}

func isPresent(id model.InstanceID, members []model.Member) bool {
	for _, m := range members {
		if m.ID == id {
			return m.Present()
		}
	}
	return false
}

// Touched returns the leaves that the settings change, out of those of the
// edited document.
func Touched(settings []model.Setting, leaves []model.Leaf) []model.Leaf {
	var out []model.Leaf
	for _, leaf := range leaves {
		for _, s := range settings {
			if leafOf(s.Path) == leaf.Path {
				out = append(out, leaf)
				break
			}
		}
	}
	return out
}

// leafOf returns the leaf path of a dotted document path: the first two
// segments.
func leafOf(path string) string {
	segments := strings.SplitN(path, ".", 3)
	if len(segments) < 2 {
		return path
	}
	return segments[0] + "/" + segments[1]
}
