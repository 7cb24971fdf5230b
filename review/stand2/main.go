// Command stand2 runs the cases of a review: it starts nodes as processes of their own,
// plays the store, the workers and the clients on loopback addresses, and checks one rule
// from what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*bench) (bool, error){
	"removal-in-storm":    removalInStorm,
	"crashing-request":    crashingRequest,
	"early-answer":        earlyAnswer,
	"removal-while-cut":   removalWhileCut,
	"queue-behind-leaver": queueBehindLeaver,
}

func main() { os.Exit(run()) }

func run() int {
	node := flag.String("node", "target/galenalevernode", "program of the node")
	record := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	logs := flag.String("logs", "", "folder for the logs of the nodes, which are removed without one")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		return exitNotRun
	}
	b, err := newBench(*node, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b.logs = *logs
	defer b.close()
	broken, err := play(b)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
