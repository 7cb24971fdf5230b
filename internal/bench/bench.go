// Package bench implements galenabench, the load and experiment tool. It runs
// real nodes on loopback with stand-in servers, sends seeded open-loop load and
// reports each policy next to its baseline from the same run.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/galenalever/galenalever/internal/cli"
)

type commands struct {
	Version  kong.VersionFlag `help:"Print the version."`
	All      allCommand       `cmd:"" help:"Run every experiment except capacity."`
	Crest    overloadCommand  `cmd:"" help:"Demand at three times the capacity for a few seconds."`
	Blocking blockingCommand  `cmd:"" help:"Short reads while long uploads run."`
	Slow     slowCommand      `cmd:"" help:"Tail latency while some servers are slowed."`
	Converge convergeCommand  `cmd:"" help:"Convergence time and control traffic of a configuration change."`
	Latency  latencyCommand   `cmd:"" help:"Latency that two nodes add to a call."`
	Capacity capacityCommand  `cmd:"" help:"CPU, memory and control traffic of a node at a given mesh size and change rate."`
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(&commands{}, "galenabench", "Measure a galenalever mesh on loopback.", args, stdout, stderr)
}

// options are the flags of every experiment.
type options struct {
	Bin  string `help:"Folder with galenaleverd." default:"bin" type:"existingdir"`
	Seed uint64 `help:"Seed of arrivals, faults and jitter." default:"1"`
	JSON string `help:"Also write the results to this file as JSON." name:"json"`
}

func (o options) daemonPath() string { return filepath.Join(o.Bin, "galenaleverd") }

// run performs experiments, prints their tables and writes the JSON file if one
// is set.
func (o options) run(w io.Writer, experiments ...experiment) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var report Report
	for _, e := range experiments {
		table, err := e(ctx, o)
		if err != nil {
			return err
		}
		report.Tables = append(report.Tables, table)
		fmt.Fprintln(w)
		if err := table.write(w); err != nil {
			return err
		}
	}
	if o.JSON == "" {
		return nil
	}
	return report.writeJSON(o.JSON)
}

// experiment performs one measurement and returns its result table.
type experiment func(context.Context, options) (Table, error)

type allCommand struct{ options }

// Run performs all experiments except capacity.
func (c *allCommand) Run(w io.Writer) error {
	return c.run(w, overload, blocking, slow, defaultSizes.converge, latency)
}
