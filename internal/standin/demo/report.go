package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/status"
)

// report prints the state of the nodes and the results of the calls, and returns
// all findings as one error.
func (r *demoRun) report(ctx context.Context, secondRevision model.Revision) error {
	reports := r.observer.Sample(ctx)
	printReports(r.Out, reports)
	r.printTimeline(ctx)
	records := r.generator.Records()
	r.printCalls(records)
	counters := r.mesh.Platform.Counters()
	fmt.Fprintf(r.Out, "calls to the platform: %d, at most %d in one second\n", counters.Calls, counters.HighestPerSecond)
	return r.findings(reports, secondRevision, records).Err()
}

func (r *demoRun) findings(reports mesh.Reports, secondRevision model.Revision, records []load.Record) findings.List {
	var list findings.List
	location := func(source string) findings.Location { return findings.Location{Source: source} }
	if !r.mesh.AllRun(model.TeamKey("katalog"), secondRevision)(reports) {
		list.Addf(location("versions"), "not every node runs version 2")
	}
	if countWithPeerUpstream(reports) == 0 {
		list.Addf(location("versions"), "no node gets its configuration from a peer")
	}
	for _, violation := range r.observer.Violations() {
		list.Addf(location("versions"), "%s", violation)
	}
	for _, record := range records {
		if record.Last().Result == load.ResultCut {
			list.Addf(location("calls"), "cut: %s", record)
		}
	}
	for _, violation := range load.Violations(records, r.mesh.Ledger) {
		list.Addf(location("calls"), "%s", violation)
	}
	if load.CountResults(records)[load.ResultAnswered] == 0 {
		list.Addf(location("calls"), "no call was answered")
	}
	return list
}

func countWithPeerUpstream(reports mesh.Reports) int {
	count := 0
	for _, report := range reports {
		if upstream := report.Upstream(); upstream != "" && upstream != status.UpstreamPlatform {
			count++
		}
	}
	return count
}

func printReports(w io.Writer, reports mesh.Reports) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDOMAIN\tPRESENCE\tMEMBERS\tCUT\tKATALOG AT\tORIGIN\tHELD")
	for _, id := range slices.Sorted(maps.Keys(reports)) {
		r := reports[id]
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", id, r.Domain, r.Presence, r.Members, r.Version.Cut,
			r.Version.Running[model.TeamKey("katalog")], cmp.Or(r.Upstream(), "-"), cmp.Or(r.Version.HeldText(), "-"))
	}
	_ = table.Flush() // a failed output cannot be reported
	fmt.Fprintf(w, "%d nodes answered; %d get their configuration from a peer\n", len(reports), countWithPeerUpstream(reports))
}

func (r *demoRun) printTimeline(ctx context.Context) {
	events := r.observer.Events(ctx)
	hidden := max(len(events)-maxShownEvents, 0)
	fmt.Fprintf(r.Out, "timeline of all processes, last %d of %d events:\n", len(events)-hidden, len(events))
	const nodeWidth = 12
	for _, event := range events[hidden:] {
		fmt.Fprintln(r.Out, " ", event.Format(nodeWidth))
	}
}

func (r *demoRun) printCalls(records []load.Record) {
	for _, workload := range workloads() {
		counts := load.CountResults(slices.DeleteFunc(slices.Clone(records), func(record load.Record) bool {
			return record.Workload.Name != workload.Name
		}))
		fmt.Fprintf(r.Out, "calls %-7s", workload.Name)
		for _, result := range load.Results {
			fmt.Fprintf(r.Out, "  %s %d", result, counts[result])
		}
		fmt.Fprintln(r.Out)
	}
	r.printUnanswered(records)
}

// maxShownUnanswered bounds the unanswered calls that are printed.
const maxShownUnanswered = 5

func (r *demoRun) printUnanswered(records []load.Record) {
	shown := 0
	for _, record := range records {
		if record.Last().Result != load.ResultAnswered && shown < maxShownUnanswered {
			fmt.Fprintln(r.Out, "  not answered:", record)
			shown++
		}
	}
}
