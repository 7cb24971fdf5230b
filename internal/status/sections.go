package status

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

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

// sectionExchange is the section of the exchange service.
const sectionExchange = "exchange"

// UpstreamPlatform is the upstream of a node that reads the platform.
const UpstreamPlatform = "platform"

// Upstream returns where the node gets its state from: UpstreamPlatform or the
// instance ID of a peer.
func (r Report) Upstream() string {
	if r.Field(sectionExchange, "reader") == "true" {
		return UpstreamPlatform
	}
	return r.Field(sectionExchange, "upstream")
}

// ControlBytes returns the bytes of control traffic that the node received and
// sent, as "received/sent", or "" if unknown.
func (r Report) ControlBytes() string {
	received, sent := r.Field(sectionExchange, "received_bytes"), r.Field(sectionExchange, "sent_bytes")
	if received == "" && sent == "" {
		return ""
	}
	return received + "/" + sent
}

// HeldText lists the subtrees that the node does not run, with the first finding
// of each.
func (v Version) HeldText() string {
	texts := make([]string, 0, len(v.Held))
	for _, held := range v.Held {
		text := fmt.Sprintf("%s@%s", held.Key, held.Revision)
		if len(held.Findings) > 0 {
			text += " (" + held.Findings[0].String() + ")"
		}
		texts = append(texts, text)
	}
	slices.Sort(texts)
	return strings.Join(texts, "; ")
}
