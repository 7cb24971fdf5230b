package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/status"
)

// whereCommand asks nodes where a request would go now.
type whereCommand struct {
	Method  string        `arg:"" help:"HTTP method of the request."`
	URL     string        `arg:"" name:"url" help:"URL of the request, or its path if the host does not matter."`
	Headers []string      `help:"Header line \"Name: value\" of the request; may be repeated." name:"header" sep:"none"`
	Nodes   []string      `help:"Operator address of the node to ask; may be repeated. --from is another name for it." name:"node" aliases:"from" env:"GALENA_NODES" required:""`
	Timeout time.Duration `help:"Timeout of each request to a node." env:"GALENA_TIMEOUT" default:"3s"`
	JSON    bool          `help:"Print the complete answers as JSON." name:"json"`
}

// Run implements the command. It fails if a node does not answer, not if a node would
// refuse the request.
func (c *whereCommand) Run(w io.Writer) error {
	if _, err := status.ParseWhere(c.Method, c.URL, c.Headers); err != nil {
		return cli.UsageError{Err: err}
	}
	ctx := context.Background()
	client := status.NewClient(c.Timeout)
	defer client.Close()
	nodes := nodeFlags{Nodes: c.Nodes}
	results := queryAll(nodes.addresses(ctx, client), func(address string) (status.Where, error) {
		return client.Where(ctx, address, c.Method, c.URL, c.Headers)
	})
	answers := successfulValues(results)
	if c.JSON {
		if err := printJSON(w, answers); err != nil {
			return err
		}
		return printFailures(io.Discard, results)
	}
	for i, answer := range answers {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := printWhere(w, answer); err != nil {
			return err
		}
	}
	return printFailures(w, results)
}

func printWhere(w io.Writer, a status.Where) error {
	fmt.Fprintf(w, "%s %s%s from %s (%s), configuration %s, applied %s ago\n",
		a.Method, a.Host, a.Path, a.Instance, a.Domain, a.Revision, a.Applied.Round(time.Second))
	if a.Route != nil {
		printRoute(w, a.Route)
	}
	if a.Refusal != nil {
		fmt.Fprintln(w, "refused:", refusalText(a.Refusal))
	}
	for _, part := range a.Parts {
		if err := printPart(w, part, len(a.Parts) > 1); err != nil {
			return err
		}
	}
	return nil
}

func printRoute(w io.Writer, r *status.WhereRoute) {
	fmt.Fprintf(w, "route: %s/%s (document %d), prefix %s, class %s, priority %d, idempotent %t, time left %s", r.Team, r.Name, r.Document,
		r.PathPrefix, r.Class, r.Priority, r.Idempotent, short(r.TimeLeft))
	if r.Objective > 0 {
		fmt.Fprintf(w, ", objective %s", short(r.Objective))
	}
	if r.FinalAttempt {
		fmt.Fprint(w, ", final attempt")
	}
	fmt.Fprintln(w)
}

func printPart(w io.Writer, p status.WherePart, split bool) error {
	fmt.Fprintf(w, "service: %s", p.Service)
	if split {
		fmt.Fprintf(w, ", %s of the requests (weight %d)", percent(p.Share), p.Weight)
	}
	fmt.Fprintln(w)
	if p.Refusal != nil {
		fmt.Fprintln(w, "  refused:", refusalText(p.Refusal))
	}
	if p.ByKey {
		fmt.Fprintln(w, "  the idempotency key determines the server")
	}
	if p.Panic {
		fmt.Fprintln(w, "  ejections are ignored")
	}
	if len(p.Candidates) > 0 {
		if err := printCandidates(w, p); err != nil {
			return err
		}
	}
	for _, e := range p.Excluded {
		fmt.Fprintf(w, "  excluded: %s (%s): %s\n", e.Instance, e.Domain, exclusionText(e))
	}
	if p.BeyondSubset > 0 {
		fmt.Fprintf(w, "  excluded: %d more servers beyond the subset of this node\n", p.BeyondSubset)
	}
	fmt.Fprintln(w, "  refused before the first hop:", throttleText(p))
	fmt.Fprintln(w, "  hedge:", hedgeText(p.Hedge))
	return nil
}

func printCandidates(w io.Writer, p status.WherePart) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  SERVER\tDOMAIN\tCHOSEN\tCOST\tSLOT WAIT\tLATENCY (AGE)\tPENDING/SLOTS\tREPORTED LOAD (AGE)")
	for _, c := range p.Candidates {
		domain := string(c.Domain)
		if !c.Local {
			domain += " +" + short(p.CrossDomainPenalty)
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			c.Instance, domain, percent(c.Chosen), short(c.Cost.Total), short(c.Cost.SlotWait), latencyText(c.Cost),
			fmt.Sprintf("%.1f/%d", c.Cost.Pending, c.Cost.Slots), loadText(c.Load))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, c := range p.Candidates {
		if notes := notesOf(c); notes != "" {
			fmt.Fprintf(w, "  %s: %s\n", c.Instance, notes)
		}
		if c.Gate != nil {
			fmt.Fprintf(w, "  %s: its gate would now: %s\n", c.Instance, forecastText(c.Gate))
		}
	}
	return nil
}

// short rounds a duration for a table.
func short(d time.Duration) string {
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Millisecond).String()
}

func percent(share float64) string {
	const hundred, digits = 100, 3
	return strconv.FormatFloat(share*hundred, 'g', digits, 64) + "%"
}
