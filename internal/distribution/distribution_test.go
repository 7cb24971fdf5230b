package distribution

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
)

// step is the interval at which conditions are checked, in simulated time.
const step = 50 * time.Millisecond

// TestScenarios runs each file of testdata as a script. It checks that configuration and
// membership reach all nodes in time under failures, that no node reverts to an older
// version, and that the platform gets no more calls than its limit. Time is simulated:
// synctest reports when all goroutines of all nodes are blocked, and then the fake clock
// advances. The commands:
//
//	mesh nodes=N domains=A+B limit=N teams=N  start a mesh; limit is in platform calls per second;
//	                                          with "direct", nodes follow each other (exchange.Config.Direct);
//	                                          with "slow-links", few links can carry the configuration, and the
//	                                          whole takes the time of "transfer" on the others
//	publish [count=N every=TIME]              publish new versions of random teams' documents
//	supersede after=TIME                      publish a good version, then an invalid one
//	run for=TIME                              let the time pass
//	kill [domain=A], restart                  kill half of all nodes or a domain; start all dead nodes
//	partition, heal domain=A [platform-only]  begin or end the partition of a domain
//	platform outage | stale=N | up            set the state of the platform
//	list-unstarted count=N domain=A           list instances whose nodes never run
//	pause instance=ID for=TIME                block the control loop of a node
//	leave instance=ID                         make a node leave
//	converged, agreed, fresh within=TIME      wait until all nodes fulfil the condition
//	present, absent instance=ID within=TIME   wait until all nodes consider an instance so
//	synchronised, announcements during=TIME   count messages while the time passes
//	readers domain=A [kill|cut|silent]        disturb the readers of a domain in a direct mesh; without an
//	                                          argument, end the disturbance of the present ones
//	sources domain=A count=N [silent|keys-silent]  the same for the first nodes in the order in which they follow
//	                                          each other: they do not respond to other nodes, or get no
//	                                          configuration from the platform
//	others-converged within=TIME              as converged, without the nodes in which the last command resulted
//	drain instance=ID                         list a server as leaving
//	calls during=TIME most=N                  compare the number of platform calls with a limit
//	check                                     report reversions and the rate of platform calls
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, rng: rand.New(rand.NewPCG(1, 2))}
			defer s.stop()
			datadriven.RunTest(t, path, s.run)
		})
	})
}

// script runs the commands of a file on a mesh. The mesh is nil before
// the command mesh.
type script struct {
	t    *testing.T
	rng  *rand.Rand
	mesh *mesh
	// sources are the nodes that disturbSources has disturbed.
	sources []*node
	// teams is the number of teams, publishedVersions the number of versions of their
	// documents published so far.
	teams, publishedVersions int
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "mesh":
		return s.startMesh(d)
	case "publish":
		return s.publish(d)
	case "supersede":
		s.supersede(d)
	case "agreed":
		return s.agreed(d)
	case "run":
		s.mesh.advance(duration(t, d, "for"))
	case "kill":
		return s.kill(d)
	case "restart":
		return s.restart()
	case "partition":
		s.setPartition(d, true)
	case "heal":
		s.setPartition(d, false)
	case "platform":
		s.setPlatform(d)
	case "list-unstarted":
		s.listUnstarted(d)
	case "synchronised":
		s.mesh.synchronised.Store(0)
		s.mesh.advance(duration(t, d, "during"))
		return fmt.Sprintf("%d times", s.mesh.synchronised.Load())
	case "announcements":
		return s.announcements(d)
	case "pause":
		return s.pause(d)
	case "fresh":
		return s.waitUntilNone(d, "fresh", func() int {
			return s.mesh.countNodes(func(n *node) bool { return !n.watchdog.Fresh() })
		})
	case "leave":
		return s.leave(d)
	case "converged":
		return s.converged(d)
	case "present":
		return s.present(d)
	case "absent":
		return s.absent(d)
	case "readers":
		return s.disturbReaders(d)
	case "sources":
		return s.disturbSources(d)
	case "others-converged":
		return s.othersConverged(d)
	case "drain":
		s.drainServer(d)
	case "calls":
		return s.countCalls(d)
	case "check":
		return s.check(d)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

// stop ends all nodes, since all goroutines of a synctest bubble must end with it.
func (s *script) stop() {
	if s.mesh != nil {
		s.mesh.stopAll()
	}
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}

// startMesh publishes the root document and a document for each team, and starts the
// nodes.
func (s *script) startMesh(d *datadriven.TestData) string {
	var count, limit, teams int
	var names string
	d.ScanArgs(s.t, "nodes", &count)
	d.ScanArgs(s.t, "domains", &names)
	d.ScanArgs(s.t, "limit", &limit)
	d.ScanArgs(s.t, "teams", &teams)
	var domains []model.FailureDomain
	for name := range strings.SplitSeq(names, "+") {
		domains = append(domains, model.FailureDomain(name))
	}
	s.mesh = newMesh(domains, limit)
	s.mesh.direct, s.mesh.slowLinks = d.HasArg("direct"), d.HasArg("slow-links")
	if s.mesh.direct {
		s.mesh.callTimeout = directCallTimeout
	}
	if d.HasArg("transfer") {
		s.mesh.slowTransfer = duration(s.t, d, "transfer")
	}
	s.teams = teams
	s.mesh.publish(model.RootKey, rootDocument(teams))
	for i := range teams {
		s.publishTeam(i)
	}
	s.mesh.startAll(count)
	return ""
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// rootDocument returns a root document that grants each team a path.
func rootDocument(teams int) string {
	text := "teams:\n"
	for i := range teams {
		text += fmt.Sprintf("  %s: {hosts: [sewa.example], paths: [/%s/]}\n", teamName(i), teamName(i))
	}
	return text
}

// publishTeam publishes a new version of a team's document.
func (s *script) publishTeam(i int) {
	s.publishedVersions++
	text := fmt.Sprintf("team: %s\nservices:\n  app: {slots: 6, long_slots: 2, queue: %d}\n", teamName(i), s.publishedVersions)
	text += fmt.Sprintf("routes:\n  all: {hosts: [sewa.example], path: /%s/, service: app}\n", teamName(i))
	s.mesh.publish(model.TeamKey(model.TeamName(teamName(i))), text)
}

// publish publishes new versions of the documents of random teams, with the interval of
// the argument "every" between two of them.
func (s *script) publish(d *datadriven.TestData) string {
	count := 1
	d.MaybeScanArgs(s.t, "count", &count)
	for i := range count {
		if i > 0 {
			s.mesh.advance(duration(s.t, d, "every"))
		}
		s.publishTeam(s.rng.IntN(s.teams))
	}
	return ""
}

// kill kills a random half of all nodes, or all nodes of a domain.
func (s *script) kill(d *datadriven.TestData) string {
	var domain string
	all := !d.MaybeScanArgs(s.t, "domain", &domain)
	count := 0
	for _, i := range s.rng.Perm(len(s.mesh.nodes)) {
		n := s.mesh.nodes[i]
		if (all && count < len(s.mesh.nodes)/2) || string(n.self.Domain) == domain {
			n.kill()
			count++
		}
	}
	return fmt.Sprintf("%d killed", count)
}

// restart starts all dead nodes.
func (s *script) restart() string {
	count := 0
	for i, n := range s.mesh.nodes {
		if !n.alive() {
			s.mesh.start(i)
			count++
		}
	}
	return fmt.Sprintf("%d started", count)
}

// setPartition starts or ends the partition of a domain from the platform and, without
// the argument "platform-only", from all other domains.
func (s *script) setPartition(d *datadriven.TestData, partitioned bool) {
	var domain string
	d.ScanArgs(s.t, "domain", &domain)
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.mesh.withoutPlatform[model.FailureDomain(domain)] = partitioned
	if !d.HasArg("platform-only") {
		s.mesh.partitioned[model.FailureDomain(domain)] = partitioned
	}
}

// setPlatform sets the state of the platform: in an outage, stale by a number of
// revisions, or up and current.
func (s *script) setPlatform(d *datadriven.TestData) {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	p := s.mesh.platform
	p.outage, p.stale = d.HasArg("outage"), 0
	if d.HasArg("stale") {
		var behind int
		d.ScanArgs(s.t, "stale", &behind)
		p.stale = p.revision - model.Revision(behind)
	}
	p.notify()
}

// listUnstarted adds instances of a failure domain to the platform's list. Their nodes
// never run.
func (s *script) listUnstarted(d *datadriven.TestData) {
	var count int
	var domain string
	d.ScanArgs(s.t, "count", &count)
	d.ScanArgs(s.t, "domain", &domain)
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	for i := range count {
		s.mesh.addListing(newSelf(1000+i, model.FailureDomain(domain)))
	}
	s.mesh.platform.notify()
}

// leave makes a node leave and reports the state in which the platform still lists it.
func (s *script) leave(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	n := s.mesh.node(model.InstanceID(id))
	if !n.alive() {
		d.Fatalf(s.t, "node %s does not run", id)
	}
	n.kernel.Loop().TryPost(control.PresenceChanged{Presence: model.PresenceLeaving})
	return fmt.Sprintf("listed as %s", s.mesh.listing(n.self.ID))
}
