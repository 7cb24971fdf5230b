// Command galenalevernode runs the node of one backend server on the operators'
// platform. It reads the platform's settings file.
package main

import (
	"os"

	"github.com/galenalever/galenalever/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
