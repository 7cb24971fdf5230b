// Command galenalevernode is the node beside one backend server on the
// operators' platform, whose settings file it reads.
package main

import (
	"os"

	"github.com/galenalever/galenalever/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
