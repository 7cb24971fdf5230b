package standin

import (
	"io"
	"time"

	"github.com/galenalever/galenalever/internal/standin/chaos"
	"github.com/galenalever/galenalever/internal/standin/demo"
)

type demoCommand struct {
	Bin string `help:"Folder with the programs." env:"STAND_BIN" default:"bin"`
}

// Run implements the command.
func (c *demoCommand) Run(w io.Writer) error {
	ctx, stop := signalContext()
	defer stop()
	return demo.Run(ctx, demo.Config{Bin: c.Bin, Out: w})
}

type chaosCommand struct {
	Bin       string        `help:"Folder with the programs." env:"STAND_BIN" default:"bin"`
	Seed      uint64        `help:"Seed that selects the failures." env:"STAND_SEED" default:"1"`
	Duration  time.Duration `help:"Duration of the failures." env:"STAND_DURATION" default:"1m"`
	Scenario  string        `help:"Kind of failures: ${enum}; empty means that the seed selects it." enum:",failures,planned-stops,mixed" env:"STAND_SCENARIO" default:""`
	Instances int           `help:"Number of instances, each with a node process; 0 means 14." env:"STAND_INSTANCES" default:"0"`
	Resend    bool          `help:"Send bids of unknown outcome again, with the same idempotency key." env:"STAND_RESEND"`
}

// Run implements the command.
func (c *chaosCommand) Run(w io.Writer) error {
	ctx, stop := signalContext()
	defer stop()
	config := c.config()
	config.Out = w
	return chaos.Run(ctx, config)
}

func (c *chaosCommand) config() chaos.Config {
	return chaos.Config{
		Bin: c.Bin, Seed: c.Seed, Scenario: chaos.Scenario(c.Scenario), Instances: c.Instances,
		Duration: c.Duration, ResendUnknown: c.Resend,
	}
}

type soakCommand struct {
	chaosCommand
	Seeds   int     `help:"Number of consecutive seeds to run, beginning with --seed." env:"STAND_SEEDS" default:"50"`
	Minutes float64 `help:"Start no further seed after this number of minutes; 0 runs all seeds." env:"STAND_MINUTES"`
	Logs    string  `help:"Folder for the reports of failed seeds." env:"STAND_LOGS" default:"soak"`
}

// Run implements the command.
func (c *soakCommand) Run(w io.Writer) error {
	ctx, stop := signalContext()
	defer stop()
	return chaos.Soak(ctx, chaos.SoakConfig{
		Run:   c.config(),
		Seeds: c.Seeds, Limit: time.Duration(c.Minutes * float64(time.Minute)), Logs: c.Logs, Out: w,
	})
}
