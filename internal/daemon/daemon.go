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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
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
	if line.MemoryLimit > 0 {
		debug.SetMemoryLimit(line.MemoryLimit << 20)
	}
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
	l, err := openListeners(d)
	if err != nil {
		return err
	}
	defer l.close()
	self := identity(d, l, time.Now())
	k := kernel.New(clock.System{}, log)
	if err := k.Register(services(d, self, l)...); err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	log.Info("listening", "callers", l.callers.Addr().String(), "traffic", l.traffic.Addr().String(),
		"control", l.control.Addr().String(), "operator", l.operator.Addr().String())
	<-ctx.Done()
	return drain(d, k, log)
}

// identity returns who this process is.
func identity(d *settings.Daemon, l *listeners, now time.Time) model.Self {
	return model.Self{
		ID:          model.InstanceID(d.Instance),
		Service:     d.ServiceName(),
		Domain:      model.FailureDomain(d.Domain),
		Addresses:   l.addresses(d),
		Incarnation: model.Incarnation(now.UnixMilli()),
	}
}

// drain announces that the instance leaves, waits for running requests and
// stops the services.
func drain(d *settings.Daemon, k *kernel.Kernel, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.DrainTimeout)
	defer cancel()
	log.Info("draining", "at most", d.DrainTimeout)
	if err := k.Loop().Post(ctx, control.PresenceChanged{Presence: model.PresenceLeaving}); err != nil {
		return err
	}
	err := k.Stop(ctx)
	log.Info("stopped")
	return err
}
