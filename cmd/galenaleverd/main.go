// Command galenaleverd runs the node of one backend server.
package main

import (
	"os"

	"github.com/galenalever/galenalever/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
