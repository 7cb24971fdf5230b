package standin

import (
	"io"
	"time"

	"github.com/galenalever/galenalever/internal/standin/chaos"
	"github.com/galenalever/galenalever/internal/standin/demo"
)

type demoCommand struct {
	Bin string `help:"Folder of the programs." env:"STAND_BIN" default:"bin"`
}

// Run implements the command.
func (c *demoCommand) Run(w io.Writer) error {
	ctx, stop := untilSignal()
	defer stop()
	return demo.Run(ctx, demo.Config{Bin: c.Bin, Out: w})
}

type chaosCommand struct {
	Bin      string        `help:"Folder of the programs." env:"STAND_BIN" default:"bin"`
	Seed     uint64        `help:"Selects the failures." env:"STAND_SEED" default:"1"`
	Duration time.Duration `help:"Time under failures." env:"STAND_DURATION" default:"1m"`
	Resend   bool          `help:"Send bids of unknown outcome again, with the same idempotency key." env:"STAND_RESEND"`
}

// Run implements the command.
func (c *chaosCommand) Run(w io.Writer) error {
	ctx, stop := untilSignal()
	defer stop()
	return chaos.Run(ctx, chaos.Config{Bin: c.Bin, Seed: c.Seed, Duration: c.Duration, ResendUnknown: c.Resend, Out: w})
}

type soakCommand struct {
	chaosCommand
	Seeds   int     `help:"Number of seeds, from the given one on." env:"STAND_SEEDS" default:"50"`
	Minutes float64 `help:"No further seed begins after so many minutes; 0 means all seeds." env:"STAND_MINUTES"`
	Logs    string  `help:"Folder for the reports of seeds that failed." env:"STAND_LOGS" default:"soak"`
}

// Run implements the command.
func (c *soakCommand) Run(w io.Writer) error {
	ctx, stop := untilSignal()
	defer stop()
	return chaos.Soak(ctx, chaos.SoakConfig{
		Run:   chaos.Config{Bin: c.Bin, Seed: c.Seed, Duration: c.Duration, ResendUnknown: c.Resend},
		Seeds: c.Seeds, Limit: time.Duration(c.Minutes * float64(time.Minute)), Logs: c.Logs, Out: w,
	})
}
