// Package ctl implements the commands of galenactl, the tool for operators.
package ctl

import (
	"io"

	"github.com/alecthomas/kong"

	"github.com/galenalever/galenalever/internal/cli"
)

//go:generate go test . -run TestSettingsPage -rewrite

// commands are the commands and flags of galenactl.
type commands struct {
	Config   configCommands   `cmd:"" help:"Work with settings trees."`
	Version  kong.VersionFlag `help:"Print the version."`
	Status   statusCommand    `cmd:"" help:"Show the configuration and the state of each node."`
	Timeline timelineCommand  `cmd:"" help:"Print the events of all nodes, merged in order of time."`
	Runbook  runbookCommand   `cmd:"" help:"Check, plan and run a runbook, a procedure of the old tool."`
	Explain  explainCommand   `cmd:"" help:"Find the cause of a failed request in the logs of all nodes."`
	Where    whereCommand     `cmd:"" help:"Explain where a request would go now, without sending it."`
}

// Main runs one command and returns the exit code, a constant of package cli.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(&commands{}, "galenactl", "Operate a galenalever mesh.", args, stdout, stderr)
}
