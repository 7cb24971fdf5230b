package status

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
)

// Members returns the members that a node knows, or nil if it does not tell.
func (r Report) Members() []model.Member {
	var section struct {
		Members []model.Member `json:"members"`
	}
	if json.Unmarshal(r.Sections["membership"], &section) != nil {
		return nil
	}
	return section.Members
}

// Field returns a scalar field of a section as text, or "" if there is none.
func (r Report) Field(section, field string) string {
	var fields map[string]any
	if json.Unmarshal(r.Sections[section], &fields) != nil || fields[field] == nil {
		return ""
	}
	if n, ok := fields[field].(float64); ok {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprint(fields[field])
}

// Presence returns what the node announces of its instance.
func (r Report) Presence() string { return r.Field("membership", "presence") }

// Upstream returns where the node gets its state from: "platform" or a peer.
func (r Report) Upstream() string { return r.Field("exchange", "upstream") }

// ControlBytes returns the bytes that the node sent and received for control.
func (r Report) ControlBytes() string { return r.Field("exchange", "control_bytes") }

// HeldText names the subtrees that are not in force, with the first finding of
// each.
func (v Version) HeldText() string {
	texts := make([]string, 0, len(v.Held))
	for _, held := range v.Held {
		text := fmt.Sprintf("%s@%d", held.Key, held.Revision)
		if len(held.Findings) > 0 {
			text += " (" + held.Findings[0].String() + ")"
		}
		texts = append(texts, text)
	}
	slices.Sort(texts)
	return strings.Join(texts, "; ")
}
