package document

import (
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// NewSubtree parses one value of the platform's configuration service. An invalid
// value gives a rejected subtree with findings. If removed is true, the platform
// no longer has the key, and the text is ignored.
func NewSubtree(key model.Key, revision model.Revision, text []byte, removed bool) *model.Subtree {
	subtree := &model.Subtree{Key: key, Revision: revision, Horizon: revision}
	if removed {
		subtree.Removed = true
		return subtree
	}
	subtree.Leaves, subtree.Rejected = parseValue(key, text)
	for i := range subtree.Leaves {
		subtree.Leaves[i].Changed = revision
	}
	subtree.Hash = model.HashLeaves(subtree.Leaves)
	return subtree
}

// parseValue reports a key of none of the known forms as a finding.
func parseValue(key model.Key, text []byte) ([]model.Leaf, findings.List) {
	if key == model.RootKey {
		return ParseRoot(string(key), text)
	}
	if team, ok := key.Team(); ok {
		return ParseTeam(string(key), team, text)
	}
	if domain, ok := key.Evacuation(); ok {
		return ParseEvacuation(string(key), domain, text)
	}
	var list findings.List
	list.Addf(findings.Location{Source: quote(string(key))}, "key is neither %q nor of the form %q or %q",
		model.RootKey, model.TeamKey("NAME"), model.EvacuationKey("DOMAIN"))
	return nil, list
}
