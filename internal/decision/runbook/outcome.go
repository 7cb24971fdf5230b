package runbook

import (
	"fmt"

	"github.com/galenalever/galenalever/internal/model"
)

// NodeState is what one node of the fleet reports.
type NodeState struct {
	Instance model.InstanceID
	// Leaves are the values of the team's running subtree by leaf path.
	Leaves map[string][]byte
	// Held is the reason why the team's newest subtree is not in force; empty if
	// it is.
	Held string
	// Members are the instances that the node knows.
	Members []model.Member
}

// Unmet returns why the goal does not hold yet, one reason for each node on which it
// does not hold. It is empty when the goal holds on all nodes. The expected leaves
// are checked only if g.InForce is true.
func Unmet(g Goal, expected []ExpectedLeaf, nodes []NodeState) []string {
	var reasons []string
	for _, node := range nodes {
		if reason := unmetAt(g, expected, node); reason != "" {
			reasons = append(reasons, fmt.Sprintf("%s: %s", node.Instance, reason))
		}
	}
	return reasons
}

// unmetAt returns why the goal does not hold on a node, or "" if it does.
func unmetAt(g Goal, expected []ExpectedLeaf, node NodeState) string {
	if g.InForce {
		if reason := missingLeaf(expected, node); reason != "" {
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

// missingLeaf returns why an expected leaf is not in force on a node, or "" if all are.
func missingLeaf(expected []ExpectedLeaf, node NodeState) string {
	for _, leaf := range expected {
		if leaf.accepts(node.Leaves[leaf.Path]) {
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

// HasLeft reports whether at least one node knows the instance at the operator address
// and no node considers it present. Such an instance is not expected to respond.
func HasLeft(operator string, nodes []NodeState) bool {
	left := false
	for _, node := range nodes {
		for _, m := range node.Members {
			if m.Addresses.Operator != operator {
				continue
			}
			if m.Present() {
				return false
			}
			left = true
		}
	}
	return left
}
