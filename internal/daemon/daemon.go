// Package daemon assembles the services of a node and runs them until a signal
// requests shutdown.
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
	"github.com/galenalever/galenalever/internal/decision/drain"
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

// Main runs a node with settings from flags and environment variables, using this
// project's own protocols, and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	_, code, done := cli.Parse(&line, "galenaleverd", "Runs the node of one backend server.", args, stdout, stderr)
	if done {
		return code
	}
	env := Environment{
		Platform: source.NewClient(line.Platform),
		Parse:    document.NewSubtree,
		Headers:  frontend.Native{},
		Reload: func(log *slog.Logger, signalled bool) {
			if signalled {
				log.Info("settings are read from flags and environment variables; changing them requires a restart")
			}
		},
	}
	return Run(&line.Daemon, env, stdout, stderr)
}

// Environment holds the parts of a node that depend on the platform on which it
// runs.
type Environment struct {
	// Platform is the client of the configuration service.
	Platform source.Platform
	// Parse parses the platform's values into subtrees.
	Parse source.Parse
	// Headers reads and sets the headers of callers and servers.
	Headers frontend.Headers
	// Pacing limits the calls to the platform; source.DefaultPacing if zero.
	Pacing source.Pacing
	// PollTimes are the durations of polls between nodes; exchange.DefaultPollTimes
	// if zero.
	PollTimes exchange.PollTimes
	// RetryLimits limit the retries over all nodes; if zero, only the budgets of the
	// routes limit them.
	RetryLimits retry.Limits
	// Reload is called with signalled set to true after SIGHUP, and every
	// reloadInterval with false, since settings may change without a signal. It must
	// not be nil.
	Reload func(log *slog.Logger, signalled bool)
}

// Run validates the settings, runs a node until SIGTERM or SIGINT, and returns
// the exit code. Logs go to stdout, errors in the settings to stderr.
func Run(d *settings.Daemon, env Environment, stdout, stderr io.Writer) int {
	if err := d.Check().Err(); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	writer := logging.NewWriter(stdout)
	defer closeLogs(writer)
	log := newLogger(d, writer)
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
	if err := run(ctx, d, env, hangups, log); err != nil {
		log.Error("node failed", "error", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func newLogger(d *settings.Daemon, writer *logging.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(d.LogLevel)) // checked by the enum tag
	options := &slog.HandlerOptions{Level: level}
	handler := writer.Handler(func(w io.Writer) slog.Handler {
		if d.LogFormat == "json" {
			return slog.NewJSONHandler(w, options)
		}
		return slog.NewTextHandler(w, options)
	})
	return slog.New(handler).With("instance", d.Instance)
}

// closeLogsTimeout limits the wait for stdout to accept the last log lines.
const closeLogsTimeout = 200 * time.Millisecond

func closeLogs(writer *logging.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), closeLogsTimeout)
	defer cancel()
	_ = writer.Close(ctx) // lines that stdout does not accept in time are lost
}

// reloadInterval is the time between two checks for settings that changed
// without a signal.
const reloadInterval = 5 * time.Second

// run starts the node, waits until ctx is cancelled, then drains and stops it.
func run(ctx context.Context, d *settings.Daemon, env Environment, hangups <-chan os.Signal, log *slog.Logger) error {
	l, err := openListeners(d)
	if err != nil {
		return err
	}
	defer l.close()
	self := identity(d, l, time.Now())
	k := kernel.New(clock.System{}, log)
	if err := k.Register(services(d, env, self, l)...); err != nil {
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
	stop := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { stop <- time.Now() }) // a reload may delay the next statement
	for {
		select {
		case <-hangups:
			log.Info("reload requested by signal")
			env.Reload(log, true)
		case <-ticker.C:
			env.Reload(log, false)
		case signalled := <-stop:
			return drainAndStop(d, k, signalled, log)
		}
	}
}

// identity returns the identity and the addresses of this process.
func identity(d *settings.Daemon, l *listeners, now time.Time) model.Self {
	return model.Self{
		ID:          model.InstanceID(d.Instance),
		Service:     d.ServiceName(),
		Domain:      model.FailureDomain(d.Domain),
		Addresses:   l.addresses(d),
		Incarnation: model.Incarnation(now.UnixMilli()),
	}
}

// drainAndStop announces that the instance leaves, still accepts callers for DrainLead
// while they are redirected to other nodes, then waits for running requests and
// stops the services. All of this must end within DrainTimeout of the signal.
func drainAndStop(d *settings.Daemon, k *kernel.Kernel, signalled time.Time, log *slog.Logger) error {
	ctx, cancel := context.WithDeadline(context.Background(), signalled.Add(d.DrainTimeout))
	defer cancel()
	log.Info("draining", "at_most", d.DrainTimeout)
	plan := drain.NewPlan(signalled, d.DrainLead, d.DrainTimeout)
	messages := []kernel.Message{control.DrainStarted{Plan: plan}, control.PresenceChanged{Presence: model.PresenceLeaving}}
	for _, message := range messages {
		if err := k.Loop().Post(ctx, message); err != nil {
			return err
		}
	}
	if err := clock.Wait(ctx, clock.System{}, min(time.Until(signalled.Add(d.DrainLead)), time.Until(plan.End))); err != nil {
		return err
	}
	err := k.Stop(ctx)
	log.Info("node stopped", "complete", err == nil)
	return err
}
