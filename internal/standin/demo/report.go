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

// report prints what the nodes run and what became of the calls, and returns
// all faults together.
func (r *run) report(ctx context.Context, second model.Revision) error {
	reports := r.observer.Sample(ctx)
	printReports(r.Out, reports)
	r.printTimeline(ctx)
	records := r.generator.Records()
	r.printCalls(records)
	counters := r.mesh.Platform.Counters()
	fmt.Fprintf(r.Out, "calls to the platform: %d, at most %d in one second\n", counters.Calls, counters.HighestPerSecond)
	return r.faults(reports, second, records).Err()
}

func (r *run) faults(reports mesh.Reports, second model.Revision, records []load.Record) findings.List {
	var list findings.List
	place := func(source string) findings.Location { return findings.Location{Source: source} }
	if !r.mesh.AllRun(model.TeamKey("katalog"), second)(reports) {
		list.Addf(place("versions"), "not every node runs version 2")
	}
	if fromPeers(reports) == 0 {
		list.Addf(place("versions"), "no node gets its configuration from a peer")
	}
	for _, fault := range r.observer.Violations() {
		list.Addf(place("versions"), "%s", fault)
	}
	for _, record := range records {
		if record.Last().Result == load.ResultCut {
			list.Addf(place("calls"), "cut: %s", record)
		}
	}
	for _, violation := range load.Violations(records, r.mesh.Ledger) {
		list.Addf(place("calls"), "%s", violation)
	}
	if load.CountResults(records)[load.ResultAnswered] == 0 {
		list.Addf(place("calls"), "no call was answered")
	}
	return list
}

// fromPeers counts the nodes whose upstream is another node.
func fromPeers(reports mesh.Reports) int {
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
	_ = table.Flush() // nothing can be done about a closed output
	fmt.Fprintf(w, "%d nodes answered; %d get their configuration from a peer\n", len(reports), fromPeers(reports))
}

func (r *run) printTimeline(ctx context.Context) {
	events := r.observer.Events(ctx)
	hidden := max(len(events)-shownEvents, 0)
	fmt.Fprintf(r.Out, "time line of all processes, last %d of %d events:\n", len(events)-hidden, len(events))
	const nodeWidth = 12
	for _, event := range events[hidden:] {
		fmt.Fprintln(r.Out, " ", event.Format(nodeWidth))
	}
}

func (r *run) printCalls(records []load.Record) {
	for _, shape := range shapes() {
		counts := load.CountResults(slices.DeleteFunc(slices.Clone(records), func(record load.Record) bool {
			return record.Workload.Name != shape.Name
		}))
		fmt.Fprintf(r.Out, "calls %-7s", shape.Name)
		for _, result := range load.Results {
			fmt.Fprintf(r.Out, "  %s %d", result, counts[result])
		}
		fmt.Fprintln(r.Out)
	}
	r.printExamples(records)
}

// shownExamples is the number of calls printed that were not answered.
const shownExamples = 5

func (r *run) printExamples(records []load.Record) {
	shown := 0
	for _, record := range records {
		if record.Last().Result != load.ResultAnswered && shown < shownExamples {
			fmt.Fprintln(r.Out, "  not answered:", record)
			shown++
		}
	}
}
