package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// fleetEvacuation is an evacuation as the nodes that responded report it.
type fleetEvacuation struct {
	// revision is the newest one, since the earliest time.
	revision model.Revision
	since    time.Time
	reason   string
	// nodes is the number of nodes that apply it.
	nodes int
}

// printEvacuations prints one line for each evacuated failure domain, with the number of
// nodes that know of it.
func printEvacuations(w io.Writer, reports []status.Report) {
	byDomain := make(map[model.FailureDomain]*fleetEvacuation)
	for _, r := range reports {
		for _, e := range r.Evacuations() {
			fleet := byDomain[e.Domain]
			if fleet == nil {
				fleet = &fleetEvacuation{since: e.Since}
				byDomain[e.Domain] = fleet
			}
			if e.Revision >= fleet.revision {
				fleet.revision, fleet.reason = e.Revision, e.Reason
			}
			if e.Since.Before(fleet.since) {
				fleet.since = e.Since
			}
			fleet.nodes++
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		e := byDomain[domain]
		fmt.Fprintf(w, "evacuated: %s at revision %s since %s on %d of %d nodes", domain, e.revision,
			e.since.UTC().Format(time.RFC3339), e.nodes, len(reports))
		if e.reason != "" {
			fmt.Fprintf(w, " (%s)", e.reason)
		}
		fmt.Fprintln(w)
	}
}
