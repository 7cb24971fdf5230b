package chaos

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// warmupTime is how long a server is cold after a crash, and warmupRate the number of requests
	// per second that it tolerates meanwhile, which is less than it usually gets.
	warmupTime = 4 * time.Second
	warmupRate = 8
	// warmupExcess and warmupSlack are the bounds of the mesh.
	warmupExcess = 1.5
	warmupSlack  = 8
	// warmupBound is the number of requests in a second beyond which a cold server crashes.
	warmupBound = warmupRate*warmupExcess + warmupSlack
)

// warmupArguments returns the nodes' command-line arguments with the bounds.
func warmupArguments() []string {
	return []string{
		"--warmup-excess", strconv.FormatFloat(warmupExcess, 'f', -1, 64),
		"--warmup-slack", strconv.Itoa(warmupSlack),
	}
}

// declareWarmup adds the warm-up to the services of an example document.
func declareWarmup(document []byte) []byte {
	declaration := fmt.Sprintf("{warmup_rate: %d, warmup: %s, slots:", warmupRate, warmupTime)
	return bytes.ReplaceAll(document, []byte("{slots:"), []byte(declaration))
}

// returnDomainCold crashes all servers of a failure domain at once, which then return
// cold, or makes them cold while they run.
func (i *injector) returnDomainCold(context.Context) {
	domains := mesh.Egypt().Domains
	domain, crash := domains[i.random.IntN(len(domains))], i.random.IntN(2) == 0
	i.logf("all servers of %s become cold, after a crash: %t", domain, crash)
	for _, n := range i.mesh.Nodes {
		switch {
		case n.Domain != domain:
		case crash:
			time.AfterFunc(restartTime, i.mesh.BeginDisruption(n, "crash of the server"))
			n.Backend.Crash()
		default:
			n.Backend.Cool()
		}
	}
}

// addOverloads adds a finding for each server that crashed from too many requests while it
// was cold, and prints the most that one received.
func (r *run) addOverloads(list *findings.List) {
	peak := 0
	for _, n := range r.mesh.Nodes {
		peak = max(peak, n.Backend.ColdPeak())
		if count := n.Backend.Overloads(); count > 0 {
			list.Addf(findings.Location{Source: "cold", Path: n.ID}, "crashed %d times from more than %g requests in a second", count, float64(warmupBound))
		}
	}
	fmt.Fprintf(r.Out, "cold servers received at most %d requests in a second, bound %g\n", peak, float64(warmupBound))
}
