// Package cli holds what the programs' command lines share: exit codes, the
// version flag and the parsing of flags and environment variables.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailure means that the command ran and failed.
	ExitFailure = 1
	// ExitUsage means that flags, environment or settings are at fault.
	ExitUsage = 2
)

// Version is set at link time by -ldflags "-X".
var Version = "dev"

// exit carries kong's wish to end the program, after --help or --version.
type exit struct{ code int }

// Parse fills target, a pointer to a struct with kong tags, from arguments and
// environment. When done is true the program ends with the code.
func Parse(target any, name, description string, args []string, stdout, stderr io.Writer) (ctx *kong.Context, code int, done bool) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exit:
			ctx, code, done = nil, e.code, true
		default:
			panic(e)
		}
	}()
	parser, err := kong.New(target,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exit{code}) }),
		kong.Vars{"version": Version},
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, ExitFailure, true
	}
	ctx, err = parser.Parse(args)
	var parseError *kong.ParseError
	if errors.As(err, &parseError) {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return nil, ExitUsage, true
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return nil, ExitFailure, true
	}
	return ctx, ExitOK, false
}

// Run parses the command line and calls the chosen command's Run method.
func Run(target any, name, description string, args []string, stdout, stderr io.Writer) int {
	ctx, code, done := Parse(target, name, description, args, stdout, stderr)
	if done {
		return code
	}
	ctx.BindTo(stdout, (*io.Writer)(nil))
	err := ctx.Run()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	var usage UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}

// UsageError marks a fault in settings or input, so that the exit code is
// ExitUsage.
type UsageError struct{ Err error }

// Error implements error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the fault.
func (e UsageError) Unwrap() error { return e.Err }
