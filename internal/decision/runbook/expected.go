package runbook

import (
	"bytes"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
)

// ExpectedLeaf is a leaf that a step changes, and the values with which the step
// counts as done.
type ExpectedLeaf struct {
	Path string
	// Values are the values of the leaf after the step and after later steps of
	// the runbook, so that a repeated run does not undo them.
	Values [][]byte
}

func (e ExpectedLeaf) accepts(value []byte) bool {
	return slices.ContainsFunc(e.Values, func(v []byte) bool { return bytes.Equal(v, value) })
}

// ExpectedLeaves returns the leaves that step i, counted from 0, must bring into
// force. States holds the leaves before the first step and after every step. The
// value of a later step is not accepted if the leaf also had it at some time before
// step i, since it would not show whether step i has been done.
func ExpectedLeaves(settings []model.Setting, i int, states [][]model.Leaf) []ExpectedLeaf {
	var expected []ExpectedLeaf
	before, after := states[:i+1], states[i+1:]
	for _, path := range changedLeaves(settings) {
		leaf := ExpectedLeaf{Path: path, Values: [][]byte{valueAt(after[0], path)}}
		for _, later := range after[1:] {
			if value := valueAt(later, path); !hadValue(before, path, value) {
				leaf.Values = append(leaf.Values, value)
			}
		}
		expected = append(expected, leaf)
	}
	return expected
}

// hadValue reports whether the leaf has the value in any of the states.
func hadValue(states [][]model.Leaf, path string, value []byte) bool {
	return slices.ContainsFunc(states, func(leaves []model.Leaf) bool {
		return bytes.Equal(valueAt(leaves, path), value)
	})
}

// valueAt returns nil if no leaf has the path.
func valueAt(leaves []model.Leaf, path string) []byte {
	for _, leaf := range leaves {
		if leaf.Path == path {
			return leaf.Value
		}
	}
	return nil
}

func changedLeaves(settings []model.Setting) []string {
	var paths []string
	for _, s := range settings {
		paths = append(paths, leafPath(s.Path))
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// leafPath returns the leaf path of a dotted document path: the first two
// segments.
func leafPath(path string) string {
	segments := strings.SplitN(path, ".", 3)
	if len(segments) < 2 {
		return path
	}
	return segments[0] + "/" + segments[1]
}
