package distribution

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/config"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/membership"
	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/service/watchdog"
)

// The times of a platform on which a change must be in force, and a leaving server out
// of all views, within 3 s.
var (
	directPacing = source.Pacing{
		WatchWait:     1125 * time.Millisecond,
		ListInterval:  750 * time.Millisecond,
		Retry:         backoff.Policy{Base: 200 * time.Millisecond, Max: 500 * time.Millisecond},
		InterimRetry:  backoff.Policy{Base: time.Second, Max: 3 * time.Second},
		MaxRetryAfter: time.Second,
		StartJitter:   100 * time.Millisecond,
	}
	directPollTimes = exchange.PollTimes{
		Wait: 750 * time.Millisecond, Margin: 1500 * time.Millisecond, Coalesce: 20 * time.Millisecond,
		MaxSilence: 1800 * time.Millisecond, SearchAfter: 1200 * time.Millisecond,
	}
)

const (
	// callTimeout is the time after which a call that cannot reach the platform fails, and
	// directCallTimeout that of a direct mesh.
	callTimeout       = 5 * time.Second
	directCallTimeout = time.Second
	// directMaxStale is watchdog.Config.MaxStale.
	directMaxStale = 1500 * time.Millisecond
)

// serverID is the ID under which the platform of a direct mesh lists the server beside
// a node.
func serverID(id model.InstanceID) model.InstanceID { return "server-of-" + id }

// startDirectNode starts a process that knows no other node and not the ID of its server.
func startDirectNode(m *mesh, self model.Self, seed uint64) *node {
	n := newNode(self)
	n.membership = membership.New(membership.Config{Self: self, Unannounced: true})
	n.watchdog = watchdog.New(watchdog.Config{MaxStale: directMaxStale})
	n.config = config.New(0)
	n.exchange = exchange.New(exchange.Config{
		Self: self, Dial: m.dialer(n), RandomSeed: seed, Direct: true, PollTimes: m.pollTimes, Bandwidth: m.bandwidth(self),
	})
	n.run(m, source.New(source.Config{
		Self: self, Platform: &platformClient{mesh: m, node: n}, Parse: document.NewSubtree, RandomSeed: seed, Pacing: m.pacing,
	}))
	return n
}

// slowBandwidth, in bits per second, is too little for any configuration of the tests.
const slowBandwidth = 100

// bandwidth returns exchange.Config.Bandwidth of a node. The names of the nodes end with
// a number of three digits; one in ten has a wide link.
func (m *mesh) bandwidth(self model.Self) float64 {
	if !m.slowLinks || strings.HasSuffix(string(self.ID), "5") {
		return 0
	}
	return slowBandwidth
}

// readers returns the nodes of a domain that should read the platform.
func (s *script) readers(d *datadriven.TestData) []*node {
	var domain string
	d.ScanArgs(s.t, "domain", &domain)
	var out []*node
	for _, n := range s.mesh.nodes {
		none := [rank.MaxFollowed]model.InstanceID{}
		following := rank.Follow(n.membership.View().Load(), n.self, none, func(string) bool { return false }, rank.NoFailures())
		if string(n.self.Domain) == domain && following.Reader {
			out = append(out, n)
		}
	}
	return out
}

// disturbReaders kills the readers of a domain, cuts them from the platform or makes
// them silent to other nodes.
func (s *script) disturbReaders(d *datadriven.TestData) string {
	readers := s.readers(d)
	for _, n := range readers {
		if d.HasArg("kill") {
			n.kill()
			continue
		}
		s.mesh.mu.Lock()
		s.mesh.cutNodes[n.self.ID] = d.HasArg("cut")
		s.mesh.silentNodes[n.self.ID] = d.HasArg("silent")
		s.mesh.mu.Unlock()
	}
	return fmt.Sprintf("%d readers", len(readers))
}

// disturbSources makes the first nodes of a domain, in the order in which they follow each
// other, silent to other nodes, or makes their calls for keys hang. The order begins with
// the readers and those that would take their places.
func (s *script) disturbSources(d *datadriven.TestData) string {
	var domain string
	var count int
	d.ScanArgs(s.t, "domain", &domain)
	d.ScanArgs(s.t, "count", &count)
	var addresses []string
	for _, n := range s.mesh.nodes {
		if string(n.self.Domain) == domain {
			addresses = append(addresses, n.self.Addresses.Control)
		}
	}
	rank.SortAddresses(addresses)
	s.sources = nil
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	for _, address := range addresses[:count] {
		n := s.mesh.byAddress[address]
		s.sources = append(s.sources, n)
		s.mesh.silentNodes[n.self.ID] = d.HasArg("silent")
		s.mesh.withoutKeys[n.self.ID] = d.HasArg("keys-silent")
	}
	return fmt.Sprintf("%d of %d nodes", count, len(addresses))
}

// othersConverged waits until every node that disturbSources has not disturbed runs the
// newest revision of all documents.
func (s *script) othersConverged(d *datadriven.TestData) string {
	return s.waitUntilNone(d, "others converged", func() int {
		return s.mesh.countNodes(func(n *node) bool {
			return !slices.Contains(s.sources, n) && n.behind(s.mesh.platform.revision)
		})
	})
}

// drainServer makes the platform list a server as leaving.
func (s *script) drainServer(d *datadriven.TestData) {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	p := s.mesh.platform
	for i := range p.instances {
		if string(p.instances[i].ID) == id {
			p.listRevision++
			p.instances[i].Listed, p.instances[i].ListedAt = model.ListingLeaving, p.listRevision
		}
	}
	p.notify()
}

// countCalls reports whether the platform gets at most the given number of calls while
// the time passes.
func (s *script) countCalls(d *datadriven.TestData) string {
	var most int
	d.ScanArgs(s.t, "most", &most)
	s.mesh.mu.Lock()
	s.mesh.platform.totalCalls = 0
	s.mesh.mu.Unlock()
	s.mesh.advance(duration(s.t, d, "during"))
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	calls := s.mesh.platform.totalCalls
	s.t.Logf("%s: %d calls", d.Pos, calls)
	return fmt.Sprintf("at most %d: %t", most, calls <= most)
}
