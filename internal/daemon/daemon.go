// Package daemon assembles the services of a node and runs them until a signal
// asks for shutdown.
package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/settings"
)

type commandLine struct {
	settings.Daemon
	Version kong.VersionFlag `help:"Print the version."`
}

// Main runs a node and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	_, code, done := cli.Parse(&line, "galenaleverd", "The node beside one backend server.", args, stdout, stderr)
	if done {
		return code
	}
	if err := line.Check().Err(); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	log := newLogger(&line.Daemon, stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &line.Daemon, log); err != nil {
		log.Error("node failed", "error", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func newLogger(d *settings.Daemon, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(d.LogLevel)) // checked by the enum tag
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if d.LogFormat == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("instance", d.Instance)
}

// run starts the node and waits for the end of ctx, then drains and stops.
func run(ctx context.Context, d *settings.Daemon, log *slog.Logger) error {
	k := kernel.New(clock.System{}, log)
	if err := k.Register(services(d)...); err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), d.DrainTimeout)
	defer cancel()
	return k.Stop(stopCtx)
}
