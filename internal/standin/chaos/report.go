package chaos

import (
	"context"
	"fmt"
	"slices"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/timeline"
)

// collectViolations returns every violation of a guarantee and prints a summary.
func (r *run) collectViolations(reports mesh.Reports, convergeErr error) findings.List {
	var list findings.List
	location := func(source string) findings.Location { return findings.Location{Source: source} }
	records, kept := r.generator.Records(), r.keptRecords()
	all := slices.Concat(records, kept)
	if convergeErr != nil {
		list.Addf(location("convergence"), "%v", convergeErr)
		r.addLaggingNodes(&list, reports)
	}
	for _, violation := range r.observer.Violations() {
		list.Addf(location("versions"), "%s", violation)
	}
	for _, violation := range load.Violations(all, r.mesh.Ledger) {
		list.Addf(location("calls"), "%s", violation)
	}
	for _, violation := range r.evacuationViolations() {
		list.Addf(location("evacuations"), "%s", violation)
	}
	check := newLostCheck(r.mesh)
	for _, stop := range check.failedStops() {
		list.Addf(location("stops"), "%s", stop)
	}
	lost, excused := check.lost(all)
	for _, description := range lost {
		list.Addf(location("lost"), "%s", description)
	}
	for _, description := range excused {
		fmt.Fprintln(r.Out, "not counted as lost,", description)
	}
	for _, record := range slices.Concat(r.cutByDrain(check, records, true), r.cutByDrain(check, kept, false)) {
		list.Addf(location("calls"), "connection lost at a node that was neither killed nor paused: %s", record)
	}
	if load.CountResults(records)[load.ResultAnswered] == 0 {
		list.Addf(location("calls"), "no request was answered")
	}
	r.printSummary(all, len(list))
	return list
}

// keptRecords returns the records of the clients that keep connections, if there are
// any.
func (r *run) keptRecords() []load.Record {
	if r.kept == nil {
		return nil
	}
	return r.kept.Records()
}

// cutByDrain returns the requests that lost the connection to a node that was neither
// killed nor paused. Such a node may at most have drained meanwhile, and a drain must
// let running requests finish. Requests that lostCheck reports, and those that may last
// longer than the grace time, are left out. duringStops is false for clients that send
// to a node until it closes their connection, because a request can cross the close;
// then those during a stop are left to lostCheck.
func (r *run) cutByDrain(check lostCheck, records []load.Record, duringStops bool) []load.Record {
	var cut []load.Record
	for _, record := range records {
		for _, send := range record.Sends {
			if send.Result != load.ResultCut || r.mesh.Disrupted(send.Address) {
				continue
			}
			stop, stopped := check.stopDuring(send)
			runs := check.runsOf(record, send)
			if stopped && (!duringStops || check.isLost(record, send, stop, runs) || lastsIntoLastPart(send, stop, runs)) {
				continue
			}
			cut = append(cut, record)
		}
	}
	return cut
}

// addLaggingNodes adds a finding for each node that is unreachable or runs an older
// version than expected.
func (r *run) addLaggingNodes(list *findings.List, reports mesh.Reports) {
	for _, n := range r.mesh.Nodes {
		report, ok := reports[n.ID]
		if !ok {
			list.Addf(findings.Location{Source: "convergence", Path: n.ID}, "no status report")
			continue
		}
		for key, revision := range r.publisher.expected() {
			if running := report.Version.Running[key]; running < revision {
				list.Addf(findings.Location{Source: "convergence", Path: n.ID}, "%s at %d, want %d; cut %d, held: %s",
					key, running, revision, report.Version.Cut, report.Version.HeldText())
			}
		}
	}
}

// printTimeline prints the events of all running nodes, which help to explain a
// violation. It leaves out membership changes.
func (r *run) printTimeline(ctx context.Context) {
	const nodeWidth = 14
	for _, event := range r.observer.Events(ctx) {
		if event.Kind != timeline.KindMemberChanged {
			fmt.Fprintln(r.Out, " ", event.Format(nodeWidth))
		}
	}
}

// printSummary prints the number of requests by result, those of unanswered requests
// also by detail, and the numbers of status reports, platform calls and violations.
func (r *run) printSummary(records []load.Record, violations int) {
	counts := load.CountResults(records)
	fmt.Fprintf(r.Out, "seed %d, %s: %d requests", r.Seed, r.Duration, len(records))
	for _, result := range load.Results {
		fmt.Fprintf(r.Out, ", %s %d", result, counts[result])
	}
	fmt.Fprintln(r.Out)
	for _, line := range load.Summary(records) {
		fmt.Fprintln(r.Out, line)
	}
	counters := r.mesh.Platform.Counters()
	fmt.Fprintf(r.Out, "%d status reports checked; platform calls %d, at most %d in one second; violations: %d\n",
		r.observer.Samples(), counters.Calls, counters.HighestPerSecond, violations)
}
