package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/link"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

const (
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 10 * time.Second
	// drainTimeout bounds the wait for running requests when a backend server stops.
	drainTimeout = 5 * time.Minute
	// crashExitCode is the exit code of a backend server process after a crash.
	crashExitCode = 70
)

type platformCommand struct {
	Listen      string        `help:"Address of the API for nodes." env:"STAND_PLATFORM_LISTEN" default:"127.0.0.1:7400"`
	ListenAdmin string        `help:"Address of the admin API for publishing." env:"STAND_PLATFORM_ADMIN" default:"127.0.0.1:7401"`
	Limit       int           `help:"Maximum number of calls per second." env:"STAND_PLATFORM_LIMIT" default:"2000"`
	InstanceLag time.Duration `help:"Delay until a change of the list of instances is visible." env:"STAND_PLATFORM_LAG" default:"0s"`
}

// Run implements the command.
func (c *platformCommand) Run(w io.Writer) error {
	ctx, stop := signalContext()
	defer stop()
	p := platform.New(platform.Config{Limit: c.Limit})
	p.SetMode(platform.Mode{InstanceLag: c.InstanceLag})
	nodeServer, err := serve(c.Listen, p.Handler())
	if err != nil {
		return err
	}
	defer nodeServer.Close()
	adminServer, err := serve(c.ListenAdmin, p.AdminHandler())
	if err != nil {
		return err
	}
	defer adminServer.Close()
	fmt.Fprintf(w, "platform: nodes read http://%s, publish at http://%s/admin/\n", nodeServer.Addr, adminServer.Addr)
	<-ctx.Done()
	return nil
}

// serve listens on the address and serves in the background until the returned
// server is closed. The server's Addr is the address of the listener.
func serve(address string, h http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Addr: listener.Addr().String(), Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "galenastand:", err)
		}
	}()
	return server, nil
}

type backendCommand struct {
	Listen      string        `help:"Address of the server." env:"STAND_BACKEND_LISTEN" default:"127.0.0.1:7500"`
	Name        string        `help:"Server name in responses." env:"STAND_BACKEND_NAME" default:"backend"`
	Slots       int           `help:"Number of requests that run at a time." env:"STAND_BACKEND_SLOTS" default:"6"`
	Latency     time.Duration `help:"Default run time of a request." env:"STAND_BACKEND_LATENCY" default:"5ms"`
	ColdStart   time.Duration `help:"Time until the server is healthy." env:"STAND_BACKEND_COLD_START" default:"0s"`
	HealthLag   time.Duration `help:"Delay until a change is visible on the health page." env:"STAND_BACKEND_HEALTH_LAG" default:"0s"`
	LoadLag     time.Duration `help:"Delay until a change is visible on the load page." env:"STAND_BACKEND_LOAD_LAG" default:"0s"`
	RestartTime time.Duration `help:"Time until a crashed server restarts; 0 ends the process instead." env:"STAND_BACKEND_RESTART" default:"0s"`
	Warmup      time.Duration `help:"How long a restarted server is cold; 0 means that it never is." env:"STAND_BACKEND_WARMUP" default:"0s"`
	WarmupBound int           `help:"Maximum number of requests in a second at a cold server, beyond which it crashes; 0 means no limit." env:"STAND_BACKEND_WARMUP_BOUND" default:"0"`
}

// Run implements the command.
func (c *backendCommand) Run(w io.Writer) error {
	ctx, stop := signalContext()
	defer stop()
	config := backend.Config{
		Name: c.Name, Address: c.Listen, Slots: c.Slots, Latency: c.Latency, ColdStart: c.ColdStart,
		HealthLag: c.HealthLag, LoadLag: c.LoadLag, RestartTime: c.RestartTime,
		Warmup: c.Warmup, WarmupBound: c.WarmupBound,
	}
	if c.RestartTime == 0 {
		config.OnCrash = func() { os.Exit(crashExitCode) }
	}
	server, err := backend.Start(config)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "backend server: %s\n", server.URL())
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return eris.Wrap(server.Drain(drainCtx), "draining the backend server")
}

type linkCommand struct {
	Listen      string        `help:"Address of the relay." env:"STAND_LINK_LISTEN" default:"127.0.0.1:7600"`
	ListenAdmin string        `help:"Address of the admin API of the link." env:"STAND_LINK_ADMIN" default:"127.0.0.1:7601"`
	Target      string        `help:"Address to which connections are relayed." env:"STAND_LINK_TARGET" required:""`
	Delay       time.Duration `help:"Delay in each direction." env:"STAND_LINK_DELAY" default:"4ms"`
	Jitter      time.Duration `help:"Maximum additional random delay." env:"STAND_LINK_JITTER" default:"0s"`
	Seed        uint64        `help:"Seed of the jitter." env:"STAND_LINK_SEED" default:"1"`
}

// Run implements the command.
func (c *linkCommand) Run(w io.Writer) error {
	ctx, stop := signalContext()
	defer stop()
	l, err := link.Start(link.Config{
		Address: c.Listen, Target: c.Target, Seed: c.Seed,
		State: link.State{Delay: c.Delay, Jitter: c.Jitter},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	adminServer, err := serve(c.ListenAdmin, l.AdminHandler())
	if err != nil {
		return err
	}
	defer adminServer.Close()
	fmt.Fprintf(w, "link: %s to %s, change it at http://%s/admin/state\n", l.Address(), c.Target, adminServer.Addr)
	<-ctx.Done()
	return nil
}
