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
	headerTimeout = 10 * time.Second
	// drainTimeout bounds the end of requests under way.
	drainTimeout = 5 * time.Minute
	// crashExitCode is the exit code of a backend server that crashed.
	crashExitCode = 70
)

type platformCommand struct {
	Listen      string        `help:"Address for nodes." env:"STAND_PLATFORM_LISTEN" default:"127.0.0.1:7400"`
	ListenAdmin string        `help:"Address for publishing." env:"STAND_PLATFORM_ADMIN" default:"127.0.0.1:7401"`
	Limit       int           `help:"Calls served in one second." env:"STAND_PLATFORM_LIMIT" default:"2000"`
	InstanceLag time.Duration `help:"Delay of the list of instances." env:"STAND_PLATFORM_LAG" default:"0s"`
}

// Run implements the command.
func (c *platformCommand) Run(w io.Writer) error {
	ctx, stop := untilSignal()
	defer stop()
	p := platform.New(platform.Config{Limit: c.Limit})
	p.SetMode(platform.Mode{InstanceLag: c.InstanceLag})
	readSide, err := serve(c.Listen, p.Handler())
	if err != nil {
		return err
	}
	defer readSide.Close()
	admin, err := serve(c.ListenAdmin, p.AdminHandler())
	if err != nil {
		return err
	}
	defer admin.Close()
	fmt.Fprintf(w, "platform: nodes read http://%s, publish at http://%s/admin/\n", readSide.Addr, admin.Addr)
	<-ctx.Done()
	return nil
}

// serve listens and serves until the returned server is closed. Its Addr holds
// the address of the listener.
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
	Name        string        `help:"Name that answers carry." env:"STAND_BACKEND_NAME" default:"backend"`
	Slots       int           `help:"Requests that run at a time." env:"STAND_BACKEND_SLOTS" default:"6"`
	Latency     time.Duration `help:"Run time of a request." env:"STAND_BACKEND_LATENCY" default:"5ms"`
	ColdStart   time.Duration `help:"Time until the server is healthy." env:"STAND_BACKEND_COLD_START" default:"0s"`
	HealthLag   time.Duration `help:"Delay of the health page." env:"STAND_BACKEND_HEALTH_LAG" default:"0s"`
	LoadLag     time.Duration `help:"Delay of the load page." env:"STAND_BACKEND_LOAD_LAG" default:"0s"`
	RestartTime time.Duration `help:"Time for which a crashed server is away; 0 ends the process instead." env:"STAND_BACKEND_RESTART" default:"0s"`
}

// Run implements the command.
func (c *backendCommand) Run(w io.Writer) error {
	ctx, stop := untilSignal()
	defer stop()
	config := backend.Config{
		Name: c.Name, Address: c.Listen, Slots: c.Slots, Latency: c.Latency, ColdStart: c.ColdStart,
		HealthLag: c.HealthLag, LoadLag: c.LoadLag, RestartTime: c.RestartTime,
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
	return eris.Wrap(server.Drain(drainCtx), "drain")
}

type linkCommand struct {
	Listen      string        `help:"Address of the relay." env:"STAND_LINK_LISTEN" default:"127.0.0.1:7600"`
	ListenAdmin string        `help:"Address for changes of the link." env:"STAND_LINK_ADMIN" default:"127.0.0.1:7601"`
	Target      string        `help:"Address that the relay leads to." env:"STAND_LINK_TARGET" required:""`
	Delay       time.Duration `help:"Delay one way." env:"STAND_LINK_DELAY" default:"4ms"`
	Jitter      time.Duration `help:"Greatest further delay." env:"STAND_LINK_JITTER" default:"0s"`
	Seed        uint64        `help:"Seed of the jitter." env:"STAND_LINK_SEED" default:"1"`
}

// Run implements the command.
func (c *linkCommand) Run(w io.Writer) error {
	ctx, stop := untilSignal()
	defer stop()
	l, err := link.Start(link.Config{
		Address: c.Listen, Target: c.Target, Seed: c.Seed,
		State: link.State{Delay: c.Delay, Jitter: c.Jitter},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	admin, err := serve(c.ListenAdmin, l.AdminHandler())
	if err != nil {
		return err
	}
	defer admin.Close()
	fmt.Fprintf(w, "link: %s to %s, change it at http://%s/admin/state\n", l.Address(), c.Target, admin.Addr)
	<-ctx.Done()
	return nil
}
