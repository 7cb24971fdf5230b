// Command mesh-3 plays the cases of the third review that are scripts: it starts the nodes
// of a small deployment on loopback addresses, beside stand-ins for the platform's store,
// the workers and the clients, and checks one rule from what these see.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseFunc plays a case. It returns what broke the rule.
type caseFunc func(m *mesh, trouble bool) ([]string, error)

var cases = map[string]caseFunc{
	"return-hold":  returnHold,
	"return-fresh": returnFresh,
	"shared-key":   sharedKey,
	"upload-leave": uploadLeave,
	"poison-key":   poisonKey,
	"poison-leave": poisonLeave,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("node", "target/galenalevernode", "program of a node")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for the logs of the nodes; empty means a temporary one")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	dir := *logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "mesh-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(dir)
	}
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	m, err := newMesh(dir, absolute)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer m.stop()
	findings, err := run(m, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if err := m.writeRecord(*record, findings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// The service and the routes of most cases.
const (
	booking = "huvo11a"
	stock   = "kafi81c"
)

var (
	readRoute = routeOf{Host: "jepu9.example", Prefix: "/lepu270/", Type: "idempotent", Timeout: 1200, Target: 400, Priority: 2, Service: booking, Attempts: 2}
	postRoute = routeOf{Host: "hulo84.example", Prefix: "/xapu221/ny95/", Type: "non_idempotent", Timeout: 1500, Target: 500, Priority: 1, Service: booking, Attempts: 2}
)

func readRequest(path string) request {
	return request{method: http.MethodGet, uri: readRoute.Prefix + path, host: readRoute.Host, deadline: 2500 * time.Millisecond}
}

func constant(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

// start adds machines with workers of the booking service, one for each zone given, and
// waits until all serve.
func (m *mesh) start(zones ...string) error {
	m.configure(7, []string{booking}, map[string]routeOf{"r-read": readRoute, "r-post": postRoute})
	for _, zone := range zones {
		if _, err := m.add(zone, booking, 6, constant(20*time.Millisecond)); err != nil {
			return err
		}
	}
	if !m.awaitServed(readRequest("start"), 15*time.Second) {
		return fmt.Errorf("the nodes do not serve")
	}
	return nil
}

// load sends reads to all nodes given until stop is closed.
func (m *mesh) load(nodes []*node, stop <-chan struct{}, interval time.Duration) {
	for _, n := range nodes {
		for range 2 {
			go func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(interval):
						m.do(n, readRequest(fmt.Sprint(i)))
					}
				}
			}()
		}
	}
}
