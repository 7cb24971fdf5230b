// Package standin plays the outside systems for tests, demo and experiments:
// the platform, backend servers and links between failure domains.
package standin

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/galenalever/galenalever/internal/cli"
)

type commands struct {
	Version  kong.VersionFlag `help:"Print the version."`
	Platform platformCommand  `cmd:"" help:"Run the platform: configuration service and list of instances."`
	Backend  backendCommand   `cmd:"" help:"Run one backend server."`
	Link     linkCommand      `cmd:"" help:"Run a relay with the delay of a link."`
	Demo     demoCommand      `cmd:"" help:"Run the Java deployment and publish two versions under load."`
	Chaos    chaosCommand     `cmd:"" help:"Run the Egyptian deployment under failures and check the promises."`
	Soak     soakCommand      `cmd:"" help:"Run chaos with one seed after the other and keep the reports of those that fail."`
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(&commands{}, "galenastand", "Stand-ins for the systems around galenalever.", args, stdout, stderr)
}

// untilSignal returns a context that ends when the process is asked to end.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
