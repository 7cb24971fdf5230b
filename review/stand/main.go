// Command stand holds the stand-ins of the review's cases: the platform's metadata store,
// backend servers and clients, and one driver for each case. A driver starts the nodes
// and the backend servers as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their drivers.
var cases = map[string]func(*bench) (broken bool){
	"drain":   drainCase,
	"denied":  deniedCase,
	"lost":    lostCase,
	"route":   routeCase,
	"refused": refusedCase,
}

func main() {
	if len(os.Args) < 2 {
		usage()
	}
	if os.Args[1] == "worker" {
		os.Exit(workerMain(os.Args[2:]))
	}
	run, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 4 {
		usage()
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: stand CASE NODE-PROGRAM RECORD-FILE, or stand worker FLAGS")
	os.Exit(exitNotRun)
}

// runCase runs one case and returns the exit code. All processes that the case started
// have ended when it returns.
func runCase(run func(*bench) bool, program, recordFile string) (code int) {
	trouble := true
	if text := os.Getenv("TROUBLE"); text != "" {
		value, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, "TROUBLE must be 0 or 1")
			return exitNotRun
		}
		trouble = value != 0
	}
	b, err := newBench(program, recordFile, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.killAll()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if failure := recover(); failure != nil {
			b.record.printf("the case could not run: %v", failure)
			fmt.Fprintln(os.Stderr, "the case could not run:", failure)
			code = exitNotRun
		}
	}()
	broken := run(b)
	b.record.printf("rule broken: %v", broken)
	fmt.Printf("rule broken: %v, trouble: %v, took %s\n", broken, trouble, b.record.since().Round(time.Second))
	if broken {
		return exitBroken
	}
	return exitHeld
}
