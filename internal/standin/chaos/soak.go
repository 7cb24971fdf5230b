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

// SoakConfig holds the settings of a sequence of runs with consecutive seeds.
type SoakConfig struct {
	// Run holds the settings of each run. Its seed is that of the first run; its Out is
	// not used.
	Run Config
	// Seeds is the number of runs.
	Seeds int
	// Limit is the time after which no further run starts; 0 means no limit.
	Limit time.Duration
	// Logs is the folder for the reports of failed runs. It is created when a run fails.
	Logs string
	// Out receives the result of each run.
	Out io.Writer
}

// Soak runs one seed after the other, until the context ends or the limit is reached.
// The error lists the seeds that failed; their reports are in SoakConfig.Logs.
func Soak(ctx context.Context, c SoakConfig) error {
	var failed findings.List
	begin := time.Now()
	for i := range c.Seeds {
		if ctx.Err() != nil || c.Limit > 0 && time.Since(begin) >= c.Limit {
			break
		}
		config, report := c.Run, &bytes.Buffer{}
		config.Seed, config.Out = c.Run.Seed+uint64(i), report
		err := Run(ctx, config)
		if ctx.Err() != nil {
			break // an interrupted run has no valid result
		}
		if err == nil {
			fmt.Fprintf(c.Out, "seed %d: all guarantees held\n", config.Seed)
			continue
		}
		fmt.Fprintf(c.Out, "seed %d: FAILED\n%v\n", config.Seed, err)
		failed.Addf(findings.Location{Source: "soak", Path: fmt.Sprint("seed ", config.Seed)}, "%v", err)
		if err := writeReport(c.Logs, config.Seed, report.Bytes()); err != nil {
			return err
		}
	}
	return failed.Err()
}

// writeReport creates the folder if needed.
func writeReport(folder string, seed uint64, report []byte) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "creating the folder for the reports")
	}
	name := filepath.Join(folder, fmt.Sprintf("seed-%d.log", seed))
	return eris.Wrap(os.WriteFile(name, report, 0o644), "writing the report of a failed run")
}
