// Package wireconv converts between the types of the decision packages and the
// messages of the protocol between nodes. It rejects malformed deltas and member
// records, so that decisions get only well-formed values. Whether a delta fits the
// known cut is checked by package replicate.
package wireconv

import (
	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// SetDelta sets the configuration fields of a poll response.
func SetDelta(response *wire.PollResponse, delta replicate.Delta) {
	response.CutRevision = uint64(delta.Revision)
	if delta.Digest != (model.Hash{}) {
		response.CutDigest = delta.Digest[:]
	}
	response.Subtrees = subtreesToWire(delta.Subtrees)
	response.Running = subtreesToWire(delta.Running)
}

// Delta returns the configuration part of a poll response. Bootstrap is that of
// the poll request. It returns an error if a key is empty or a digest has the wrong
// length.
func Delta(response *wire.PollResponse, bootstrap bool) (replicate.Delta, error) {
	digest, err := Hash(response.GetCutDigest())
	if err != nil {
		return replicate.Delta{}, eris.Wrap(err, "cut digest")
	}
	subtrees, err := subtreesFromWire(response.GetSubtrees())
	if err != nil {
		return replicate.Delta{}, err
	}
	running, err := subtreesFromWire(response.GetRunning())
	if err != nil {
		return replicate.Delta{}, eris.Wrap(err, "running subtrees")
	}
	return replicate.Delta{
		Revision:  model.Revision(response.GetCutRevision()),
		Digest:    digest,
		Subtrees:  subtrees,
		Running:   running,
		Bootstrap: bootstrap,
	}, nil
}

// Hash converts a received digest; an empty one becomes the zero hash. It returns
// an error if the length is wrong.
func Hash(b []byte) (model.Hash, error) {
	var h model.Hash
	if len(b) != 0 && len(b) != len(h) {
		return h, eris.Errorf("digest has %d bytes, want %d", len(b), len(h))
	}
	copy(h[:], b)
	return h, nil
}

// KeysToWire converts the keys whose subtrees are requested whole.
func KeysToWire(keys []model.Key) []string {
	out := make([]string, 0, len(keys))
	for _, key := range keys {
		out = append(out, string(key))
	}
	return out
}

// KeysFromWire is the inverse of KeysToWire.
func KeysFromWire(keys []string) []model.Key {
	out := make([]model.Key, 0, len(keys))
	for _, key := range keys {
		out = append(out, model.Key(key))
	}
	return out
}

func subtreesToWire(deltas []replicate.SubtreeDelta) []*wire.SubtreeDelta {
	out := make([]*wire.SubtreeDelta, 0, len(deltas))
	for _, delta := range deltas {
		out = append(out, subtreeToWire(delta))
	}
	return out
}

func subtreeToWire(delta replicate.SubtreeDelta) *wire.SubtreeDelta {
	s := delta.Subtree
	out := &wire.SubtreeDelta{
		Key:      string(s.Key),
		Revision: uint64(s.Revision),
		Removed:  s.Removed,
		Rejected: findingsToWire(s.Rejected),
		Base:     uint64(delta.Base),
		Horizon:  uint64(s.Horizon),
		Hash:     s.Hash[:],
		Version:  s.Version,
	}
	for _, leaf := range s.Leaves {
		out.Leaves = append(out.Leaves, &wire.Leaf{Path: leaf.Path, Value: leaf.Value, Changed: uint64(leaf.Changed)})
	}
	for _, dropped := range s.Dropped {
		out.Dropped = append(out.Dropped, &wire.DroppedLeaf{Path: dropped.Path, Changed: uint64(dropped.Changed)})
	}
	return out
}

func subtreesFromWire(messages []*wire.SubtreeDelta) ([]replicate.SubtreeDelta, error) {
	var out []replicate.SubtreeDelta
	for _, message := range messages {
		delta, err := subtreeFromWire(message)
		if err != nil {
			return nil, eris.Wrapf(err, "subtree %q", message.GetKey())
		}
		out = append(out, delta)
	}
	return out, nil
}

func subtreeFromWire(message *wire.SubtreeDelta) (replicate.SubtreeDelta, error) {
	if message.GetKey() == "" {
		return replicate.SubtreeDelta{}, eris.New("subtree key is empty")
	}
	hash, err := Hash(message.GetHash())
	if err != nil {
		return replicate.SubtreeDelta{}, err
	}
	s := model.Subtree{
		Key:      model.Key(message.GetKey()),
		Revision: model.Revision(message.GetRevision()),
		Removed:  message.GetRemoved(),
		Rejected: findingsFromWire(message.GetRejected()),
		Horizon:  model.Revision(message.GetHorizon()),
		Hash:     hash,
		Version:  message.GetVersion(),
	}
	for _, leaf := range message.GetLeaves() {
		s.Leaves = append(s.Leaves, model.Leaf{
			Path: leaf.GetPath(), Value: leaf.GetValue(), Changed: model.Revision(leaf.GetChanged()),
		})
	}
	for _, dropped := range message.GetDropped() {
		s.Dropped = append(s.Dropped, model.DroppedLeaf{
			Path: dropped.GetPath(), Changed: model.Revision(dropped.GetChanged()),
		})
	}
	return replicate.SubtreeDelta{Subtree: s, Base: model.Revision(message.GetBase())}, nil
}

func findingsToWire(list findings.List) []*wire.Finding {
	var out []*wire.Finding
	for _, f := range list {
		out = append(out, &wire.Finding{
			Source: f.Location.Source, Path: f.Location.Path,
			Line: uint32(f.Location.Line), Column: uint32(f.Location.Column), Message: f.Message,
		})
	}
	return out
}

func findingsFromWire(messages []*wire.Finding) findings.List {
	var list findings.List
	for _, m := range messages {
		location := findings.Location{
			Source: m.GetSource(), Path: m.GetPath(),
			Line: int(m.GetLine()), Column: int(m.GetColumn()),
		}
		list = append(list, findings.Finding{Location: location, Message: m.GetMessage()})
	}
	return list
}
