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
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/logging"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/settings"
)

type commandLine struct {
	settings.Daemon
	Version kong.VersionFlag `help:"Print the version."`
}

// Main runs a node with settings from flags and the environment, in the
// product's own protocols, and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	_, code, done := cli.Parse(&line, "galenaleverd", "The node beside one backend server.", args, stdout, stderr)
	if done {
		return code
	}
	surroundings := Environment{
		Platform: source.NewClient(line.Platform),
		Parse:    document.NewSubtree,
		Headers:  frontend.Native{},
		Reload: func(log *slog.Logger, signalled bool) {
			if signalled {
				log.Info("the settings are flags and environment variables; a change needs a restart")
			}
		},
	}
	return Run(&line.Daemon, surroundings, stdout, stderr)
}

// Environment are what a node meets that depends on where it runs.
type Environment struct {
	// Platform reads the configuration service.
	Platform source.Platform
	// Parse makes subtrees of the platform's values.
	Parse source.Parse
	// Headers is the protocol of callers and servers.
	Headers frontend.Headers
	// Pacing bounds the calls to the platform; source.DefaultPacing if zero.
	Pacing source.Pacing
	// PollTimes are the times of polls between nodes; exchange.DefaultTimes if
	// zero.
	PollTimes exchange.PollTimes
	// RetryLimits bound the retries over all nodes; none if zero.
	RetryLimits retry.Limits
	// Reload is called after SIGHUP with signalled set, and now and then without,
	// since settings may change silently.
	Reload func(log *slog.Logger, signalled bool)
}

// Run checks the settings, runs a node until SIGTERM or an interrupt, and
// returns the exit code. Logs go to stdout, faults of the settings to stderr.
func Run(d *settings.Daemon, where Environment, stdout, stderr io.Writer) int {
	if err := d.Check().Err(); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	logs := logging.NewWriter(stdout)
	defer closeLogs(logs)
	log := newLogger(d, logs)
	if d.MemoryLimit > 0 {
		debug.SetMemoryLimit(d.MemoryLimit << 20)
	}
	if d.GarbagePercent > 0 {
		debug.SetGCPercent(d.GarbagePercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := run(ctx, d, where, hangups, log); err != nil {
		log.Error("node failed", "error", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func newLogger(d *settings.Daemon, logs *logging.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(d.LogLevel)) // checked by the enum tag
	options := &slog.HandlerOptions{Level: level}
	handler := logs.Handler(func(w io.Writer) slog.Handler {
		if d.LogFormat == "json" {
			return slog.NewJSONHandler(w, options)
		}
		return slog.NewTextHandler(w, options)
	})
	return slog.New(handler).With("instance", d.Instance)
}

// closeLogsTimeout bounds the wait for a reader of the logs at the end.
const closeLogsTimeout = 200 * time.Millisecond

func closeLogs(logs *logging.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), closeLogsTimeout)
	defer cancel()
	_ = logs.Close(ctx) // a reader that does not read loses the last lines
}

// reloadInterval is the time between two looks at settings that may have
// changed without a signal.
const reloadInterval = 5 * time.Second

// run starts the node and waits for the end of ctx, then drains and stops.
func run(ctx context.Context, d *settings.Daemon, where Environment, hangups <-chan os.Signal, log *slog.Logger) error {
	l, err := openListeners(d)
	if err != nil {
		return err
	}
	defer l.close()
	self := identity(d, l, time.Now())
	k := kernel.New(clock.System{}, log)
	if err := k.Register(services(d, where, self, l)...); err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	log.Info("node started", "service", self.Service, "domain", self.Domain, "incarnation", self.Incarnation,
		"callers", l.callers.Addr().String(), "traffic", l.traffic.Addr().String(),
		"control", l.control.Addr().String(), "operator", l.operator.Addr().String())
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			log.Info("reload requested by signal")
			where.Reload(log, true)
		case <-ticker.C:
			where.Reload(log, false)
		case <-ctx.Done():
			return drain(d, k, log)
		}
	}
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

// drain announces that the instance leaves, goes on taking callers until they
// have been sent elsewhere, waits for running requests and stops the services.
func drain(d *settings.Daemon, k *kernel.Kernel, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.DrainTimeout)
	defer cancel()
	log.Info("draining", "at_most", d.DrainTimeout)
	if err := k.Loop().Post(ctx, control.PresenceChanged{Presence: model.PresenceLeaving}); err != nil {
		return err
	}
	if err := clock.Wait(ctx, clock.System{}, d.DrainLead); err != nil {
		return err
	}
	err := k.Stop(ctx)
	log.Info("node stopped", "complete", err == nil)
	return err
}
