// Command stand3 plays a case of the review: it starts nodes of the project as separate
// processes, and plays the store, the workers and the clients itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(ctx context.Context, s *site, trouble bool) (bool, error){
	"early": runEarly,
	"drain": runDrain,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE NODE-PROGRAM RECORD-FILE")
		return exitNotRun
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	defer cancel()
	r := newRecord()
	s, err := newSite(program, dir, r)
	held := false
	if err == nil {
		held, err = cases[args[0]](ctx, s, os.Getenv("TROUBLE") != "0")
		s.stopAll()
	}
	code := exitHeld
	switch {
	case err != nil || ctx.Err() != nil:
		r.add("the case could not run: %v %v", err, ctx.Err())
		code = exitNotRun
	case !held:
		r.add("the rule was broken")
		code = exitBroken
	default:
		r.add("the rule held")
	}
	if err := r.write(args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// putConfig writes a configuration with the given routes and services.
func (s *site) putConfig(routes map[string]any, services ...string) {
	list := make(map[string]any)
	for _, name := range services {
		list[name] = map[string]any{"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}
	}
	s.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// settle is how long traffic starts after the machines.
const settle = 8 * time.Second

// startAll lists all workers, starts all nodes and waits until traffic may start.
func (s *site) startAll(ctx context.Context) error {
	begin := time.Now()
	for _, m := range s.machines {
		m.list("ready")
	}
	go s.beat(ctx)
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := s.awaitReady(settle); err != nil {
		return err
	}
	time.Sleep(time.Until(begin.Add(settle)))
	return ctx.Err()
}
