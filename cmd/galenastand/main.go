// Command galenastand runs stand-ins for the platform, backend servers and network
// links, and the demo, chaos and soak runs. The product does not depend on it.
package main

import (
	"os"

	"github.com/galenalever/galenalever/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
