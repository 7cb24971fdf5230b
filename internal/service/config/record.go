package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// Limits for the detail text of one event.
const (
	maxListedKeys     = 8
	maxListedFindings = 3
)

func (s *Service) recordChanges(before, after *model.Configuration) {
	if changes := changedRunning(before, after); len(changes) > 0 {
		detail := fmt.Sprintf("revision %s: %s", after.Cut.Revision, joinLimited(changes, ", ", maxListedKeys))
		s.timeline.Record(timeline.KindConfigurationApplied, detail)
	}
	for _, held := range after.Held {
		if slices.ContainsFunc(before.Held, func(h model.HeldSubtree) bool {
			return h.Key == held.Key && h.Revision == held.Revision
		}) {
			continue
		}
		s.log.Warn("subtree held back", "key", held.Key, "revision", held.Revision, "findings", len(held.Findings))
		s.timeline.Record(timeline.KindSubtreeHeld, describeHeld(held))
	}
}

// changedRunning lists the running subtrees that changed or were removed, as
// key@revision.
func changedRunning(before, after *model.Configuration) []string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(after.Running)) {
		subtree, previous := after.Running[key], before.Running[key]
		if previous != nil && previous.Revision == subtree.Revision {
			continue
		}
		if subtree.Removed && (previous == nil || previous.Removed) {
			continue
		}
		entry := fmt.Sprintf("%s@%s", key, subtree.Revision)
		if subtree.Removed {
			entry += " removed"
		}
		out = append(out, entry)
	}
	return out
}

func describeHeld(held model.HeldSubtree) string {
	lines := make([]string, len(held.Findings))
	for i, f := range held.Findings {
		lines[i] = f.String()
	}
	return fmt.Sprintf("%s@%s: %s", held.Key, held.Revision, joinLimited(lines, "; ", maxListedFindings))
}

// joinLimited joins at most limit items and states the number of the others.
func joinLimited(items []string, separator string, limit int) string {
	if len(items) <= limit {
		return strings.Join(items, separator)
	}
	return fmt.Sprintf("%s%sand %d more", strings.Join(items[:limit], separator), separator, len(items)-limit)
}
