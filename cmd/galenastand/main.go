// Command galenastand runs stand-ins for the platform, backend servers and
// links, and the demo. The product does not depend on it.
package main

import (
	"os"

	"github.com/galenalever/galenalever/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
