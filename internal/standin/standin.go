// Package standin plays the outside systems for tests, demo and experiments:
// the platform, backend servers and links between failure domains.
package standin

import (
	"io"

	"github.com/alecthomas/kong"

	"github.com/galenalever/galenalever/internal/cli"
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version."`
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(&commands{}, "galenastand", "Stand-ins for the systems around galenalever.", args, stdout, stderr)
}
