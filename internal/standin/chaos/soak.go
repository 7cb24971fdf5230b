package chaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/findings"
)

// SoakConfig is the settings of a row of runs.
type SoakConfig struct {
	// Run is the settings of each run; its seed is the first one.
	Run Config
	// Seeds is the number of runs.
	Seeds int
	// Limit is the time after which no further run begins; 0 means none.
	Limit time.Duration
	// Logs is the folder for the reports of runs that failed.
	Logs string
	// Out receives a line for each run.
	Out io.Writer
}

// Soak runs one seed after the other. The error lists the seeds that failed;
// their reports stay in the folder for logs.
func Soak(ctx context.Context, c SoakConfig) error {
	var failed findings.List
	begin := time.Now()
	for i := range c.Seeds {
		if ctx.Err() != nil || c.Limit > 0 && time.Since(begin) >= c.Limit {
			break
		}
		run, report := c.Run, &bytes.Buffer{}
		run.Seed, run.Out = c.Run.Seed+uint64(i), report
		err := Run(ctx, run)
		if ctx.Err() != nil {
			break // an interrupted run shows nothing
		}
		if err == nil {
			fmt.Fprintf(c.Out, "seed %d: no promise broken\n", run.Seed)
			continue
		}
		fmt.Fprintf(c.Out, "seed %d: FAILED\n%v\n", run.Seed, err)
		failed.Addf(findings.Location{Source: "soak", Path: fmt.Sprint("seed ", run.Seed)}, "%v", err)
		if err := keepReport(c.Logs, run.Seed, report.Bytes()); err != nil {
			return err
		}
	}
	return failed.Err()
}

// keepReport writes the report of a run that failed.
func keepReport(folder string, seed uint64, report []byte) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "folder for the reports")
	}
	name := filepath.Join(folder, fmt.Sprintf("seed-%d.log", seed))
	return eris.Wrap(os.WriteFile(name, report, 0o644), "report of a run")
}
