// Command galenactl is the command-line tool for operators.
package main

import (
	"os"

	"github.com/galenalever/galenalever/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
