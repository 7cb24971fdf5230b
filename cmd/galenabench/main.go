// Command galenabench measures real nodes on loopback under load and failures.
package main

import (
	"os"

	"github.com/galenalever/galenalever/internal/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
