// Package cli provides the common parts of the programs' command lines: exit codes,
// the version flag and the parsing of flags and environment variables.
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
	// ExitUsage means that flags, environment variables or settings are invalid.
	ExitUsage = 2
)

// Version is the program's version. It is set at link time by -ldflags "-X".
var Version = "dev"

// exitPanic is the panic value that Parse recovers when kong calls its Exit hook,
// after --help or --version.
type exitPanic struct{ code int }

// Parse fills target, a pointer to a struct with kong tags, from arguments and
// environment variables. If done is true, ctx is nil and the program must exit with
// the code.
func Parse(target any, name, description string, args []string, stdout, stderr io.Writer) (ctx *kong.Context, code int, done bool) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exitPanic:
			ctx, code, done = nil, e.code, true
		default:
			panic(e)
		}
	}()
	parser, err := kong.New(target,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitPanic{code}) }),
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

// Run parses the command line, calls the Run method of the selected command and
// returns the exit code. Run methods may take an io.Writer, which is stdout.
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

// UsageError wraps an error in settings or input. The exit code is then ExitUsage.
type UsageError struct{ Err error }

// Error implements error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e UsageError) Unwrap() error { return e.Err }
