package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// FromTime returns the smallest timestamp with the physical time t.
func FromTime(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << counterBits }

// Sort orders the events of several processes by time, those of equal time by
// node.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), strings.Compare(a.Node, b.Node))
	})
}

// Format returns the event as one line, with the node padded to nodeWidth characters.
func (e Event) Format(nodeWidth int) string {
	at := time.UnixMilli(e.Time.Milliseconds()).UTC().Format("15:04:05.000")
	line := fmt.Sprintf("%s.%02d  %-*s  %-24s  %s", at, e.Time.Counter(), nodeWidth, e.Node, e.Kind, e.Detail)
	return strings.TrimRight(line, " ")
}
