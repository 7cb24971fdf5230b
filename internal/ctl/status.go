package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/galenalever/galenalever/internal/status"
)

// statusCommand prints a table with the state of each node.
type statusCommand struct {
	nodeFlags
	JSON bool `help:"Print the complete reports as JSON." name:"json"`
}

// Run implements the command. With --json, the output contains only JSON, and nodes that
// do not respond are only counted in the error.
func (c *statusCommand) Run(w io.Writer) error {
	ctx := context.Background()
	client := status.NewClient(c.Timeout)
	results := c.reports(ctx, client, c.addresses(ctx, client))
	reports := successfulValues(results)
	slices.SortFunc(reports, func(a, b status.Report) int { return cmp.Compare(a.Instance, b.Instance) })
	if c.JSON {
		return cmp.Or(printJSON(w, reports), printFailures(io.Discard, results))
	}
	return cmp.Or(printReports(w, reports), printFailures(w, results))
}

func successfulValues[T any](results []nodeResult[T]) []T {
	values := []T{}
	for _, r := range results {
		if r.err == nil {
			values = append(values, r.value)
		}
	}
	return values
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func printReports(w io.Writer, reports []status.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tSERVICE\tDOMAIN\tUPTIME\tCUT\tPRESENCE\tUPSTREAM\tCONTROL BYTES IN/OUT\tHELD")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Instance, r.Service, r.Domain, r.Uptime.Round(time.Second), r.Version.Cut,
			orDash(r.Presence), orDash(r.Upstream()), orDash(r.ControlBytes()), orDash(r.Version.HeldText()))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printEvacuations(w, reports)
	return nil
}

func orDash(text string) string { return cmp.Or(text, "-") }
