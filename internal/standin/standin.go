// Package standin implements the commands of galenastand. It simulates the systems
// around the mesh (the platform, backend servers and links between failure domains),
// and runs the demo and the failure tests with them.
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
	Platform platformCommand  `cmd:"" help:"Simulate the platform: configuration service and list of instances."`
	Backend  backendCommand   `cmd:"" help:"Simulate one backend server."`
	Link     linkCommand      `cmd:"" help:"Simulate a network link with a TCP relay that adds delay."`
	Demo     demoCommand      `cmd:"" help:"Run the Java deployment and publish two versions under load."`
	Chaos    chaosCommand     `cmd:"" help:"Run the Egyptian deployment under failures and check the guarantees."`
	Soak     soakCommand      `cmd:"" help:"Run chaos with consecutive seeds and keep the reports of the seeds that fail."`
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(&commands{}, "galenastand", "Simulates the systems around galenalever for tests and demos.", args, stdout, stderr)
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
