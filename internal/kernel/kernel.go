// Package kernel is the micro-kernel: a registry of services by name, their
// ordered start and stop, and the control loop, the only goroutine that owns
// control state. The kernel depends on no concrete service; services find each
// other by name and declare the small interfaces that they use.
package kernel

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/findings"
)

// Service is a unit of the system, registered under a unique name. A service
// may also implement Provisioner, Starter and Stopper.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() string
}

// Provisioner looks up other services by name, validates settings and subscribes
// to messages. It does no I/O. It runs once, before any service starts, in order
// of registration.
type Provisioner interface {
	Provision(*Context) error
}

// Starter opens listeners and starts I/O goroutines. Start must not block; the
// passed context ends when the service must stop its background work.
type Starter interface {
	Start(context.Context) error
}

// Stopper ends what Start began and waits for it, at most until the context
// ends. The kernel does not wait longer. Services stop in the reverse order of their start.
type Stopper interface {
	Stop(context.Context) error
}

// Context gives a service access to the kernel during Provision. The service may
// keep it.
type Context struct {
	kernel *Kernel
	// Loop is the control loop.
	Loop *Loop
	// Clock is the process clock.
	Clock clock.Clock
	// Log adds the service's name to each record.
	Log *slog.Logger
}

// Find returns the service registered under name if it implements T. Otherwise
// the error names the service.
func Find[T any](c *Context, name string) (T, error) {
	var zero T
	service, ok := c.kernel.byName[name]
	if !ok {
		return zero, eris.Errorf("service %q is not registered", name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, eris.Errorf("service %q does not implement %T", name, (*T)(nil))
	}
	return typed, nil
}

// Kernel owns the registry and the control loop of one process.
type Kernel struct {
	loop     *Loop
	clock    clock.Clock
	log      *slog.Logger
	services []Service
	byName   map[string]Service
	started  []Service
	cancel   context.CancelFunc
	loopDone chan struct{}
}

// New returns a kernel without services.
func New(clk clock.Clock, log *slog.Logger) *Kernel {
	return &Kernel{
		loop:   NewLoop(clk, log),
		clock:  clk,
		log:    log,
		byName: make(map[string]Service),
	}
}

// Loop returns the control loop.
func (k *Kernel) Loop() *Loop { return k.loop }

// Register adds services in their start order. A duplicate name is an error.
func (k *Kernel) Register(services ...Service) error {
	for _, s := range services {
		if _, ok := k.byName[s.Name()]; ok {
			return eris.Errorf("service %q is registered twice", s.Name())
		}
		k.byName[s.Name()] = s
		k.services = append(k.services, s)
	}
	return nil
}

// Start provisions every service, collecting all errors, then starts the control
// loop and the services in order. If a service fails to start, those already
// started are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.provision(); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	k.cancel = cancel
	k.loopDone = make(chan struct{})
	go func() {
		defer close(k.loopDone)
		k.loop.Run(runCtx)
	}()
	for _, s := range k.services {
		starter, ok := s.(Starter)
		if !ok {
			continue
		}
		if err := starter.Start(runCtx); err != nil {
			_ = k.Stop(ctx)
			return eris.Wrapf(err, "starting service %q", s.Name())
		}
		k.started = append(k.started, s)
	}
	return nil
}

func (k *Kernel) provision() error {
	var list findings.List
	for _, s := range k.services {
		p, ok := s.(Provisioner)
		if !ok {
			continue
		}
		c := &Context{kernel: k, Loop: k.loop, Clock: k.clock, Log: k.log.With("service", s.Name())}
		if err := p.Provision(c); err != nil {
			list.Addf(findings.Location{Source: "service " + s.Name()}, "%v", err)
		}
	}
	return list.Err()
}

// stopGrace is the time that a service, or the control loop, has to end after the context of
// Stop has ended. It is short, since the process may be killed soon after.
const stopGrace = 50 * time.Millisecond

// Stop stops the started services in reverse order, then the control loop. It
// stops all of them even after an error, and returns the first one. A service that has not
// stopped stopGrace after the end of the context is an error, and Stop goes on without it.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		first = k.stopService(ctx, k.started[i], first)
	}
	k.started = nil
	if k.cancel == nil {
		return first
	}
	k.cancel()
	err := k.awaitStop(ctx, func() error { <-k.loopDone; return nil })
	if err != nil && first == nil {
		return eris.Wrap(err, "stopping the control loop")
	}
	return first
}

func (k *Kernel) stopService(ctx context.Context, s Service, first error) error {
	stopper, ok := s.(Stopper)
	if !ok {
		return first
	}
	begin := k.clock.Now()
	err := k.awaitStop(ctx, func() error { return stopper.Stop(ctx) })
	k.log.Info("service stopped", "service", s.Name(), "took_ms", k.clock.Now().Sub(begin).Milliseconds(), "in_time", ctx.Err() == nil)
	if err != nil && first == nil {
		return eris.Wrapf(err, "stopping service %q", s.Name())
	}
	return first
}

// awaitStop returns the error of stop, or another one if stop has not returned stopGrace after
// the end of the context.
func (k *Kernel) awaitStop(ctx context.Context, stop func() error) error {
	late := make(chan struct{})
	defer context.AfterFunc(ctx, func() { k.clock.AfterFunc(stopGrace, func() { close(late) }) })()
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	select {
	case err := <-stopped:
		return err
	case <-late:
		return eris.Errorf("not ended %s after the time allowed", stopGrace)
	}
}
