package load_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/standin/load"
)

// executions is a ledger with one request.
type executions int

// Count implements load.Ledger.
func (e executions) Count(string) int { return int(e) }

// TestViolations checks one request in each case: "executions" is what the
// ledger says, the input lists what the caller saw.
func TestViolations(t *testing.T) {
	datadriven.RunTest(t, "testdata/violations", func(t *testing.T, d *datadriven.TestData) string {
		var ran int
		d.ScanArgs(t, "executions", &ran)
		record := load.Record{ID: "r1", Workload: load.Workload{Idempotent: d.HasArg("idempotent")}}
		for result := range strings.SplitSeq(d.Input, ",") {
			record.Sends = append(record.Sends, load.Send{Result: load.Result(strings.TrimSpace(result))})
		}
		var b strings.Builder
		for _, v := range load.Violations([]load.Record{record}, executions(ran)) {
			b.WriteString(v.Promise + "\n")
		}
		return b.String()
	})
}
