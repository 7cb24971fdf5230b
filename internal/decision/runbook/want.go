package runbook

import (
	"bytes"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
)

// ExpectedLeaf is a leaf that a step changes, and the values with which the step counts
// as done.
type ExpectedLeaf struct {
	Path string
	// Values are the leaf after the step and after later steps of the runbook,
	// so that a replay does not undo them.
	Values [][]byte
}

func (w ExpectedLeaf) holds(value []byte) bool {
	return slices.ContainsFunc(w.Values, func(v []byte) bool { return bytes.Equal(v, value) })
}

// ExpectedLeaves returns what step i, counted from 0, must bring into force. States
// holds the leaves before the first step and after every step. A later step's
// value does not count if the leaf had it before step i as well: then the step
// cannot be told from one that has not been done.
func ExpectedLeaves(settings []model.Setting, i int, states [][]model.Leaf) []ExpectedLeaf {
	var wants []ExpectedLeaf
	before, after := states[:i+1], states[i+1:]
	for _, path := range touched(settings) {
		want := ExpectedLeaf{Path: path, Values: [][]byte{valueAt(after[0], path)}}
		for _, later := range after[1:] {
			if value := valueAt(later, path); !hadValue(before, path, value) {
				want.Values = append(want.Values, value)
			}
		}
		wants = append(wants, want)
	}
	return wants
}

func hadValue(states [][]model.Leaf, path string, value []byte) bool {
	return slices.ContainsFunc(states, func(leaves []model.Leaf) bool {
		return bytes.Equal(valueAt(leaves, path), value)
	})
}

func valueAt(leaves []model.Leaf, path string) []byte {
	for _, leaf := range leaves {
		if leaf.Path == path {
			return leaf.Value
		}
	}
	return nil
}

// touched returns the paths of the leaves that the settings change.
func touched(settings []model.Setting) []string {
	var paths []string
	for _, s := range settings {
		paths = append(paths, leafOf(s.Path))
	}
	slices.Sort(paths)
	return slices.Compact(paths)
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
