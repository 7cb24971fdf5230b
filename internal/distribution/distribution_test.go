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

// step is how often a condition is checked, in simulated time.
const step = 50 * time.Millisecond

// TestScenarios runs each file of testdata as a script. The time is simulated;
// the bubble of synctest tells when all nodes wait for it to pass.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, rng: rand.New(rand.NewPCG(1, 2))}
			defer s.stop()
			datadriven.RunTest(t, path, s.run)
		})
	})
}

type script struct {
	t    *testing.T
	rng  *rand.Rand
	mesh *mesh
	// teams is the number of teams, versions that of their published documents.
	teams, versions int
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "mesh":
		return s.start(d)
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
	case "part":
		s.setParted(d, true)
	case "heal":
		s.setParted(d, false)
	case "platform":
		s.setPlatform(d)
	case "ghosts":
		s.listGhosts(d)
	case "announcements":
		return s.announcements(d)
	case "pause":
		return s.pause(d)
	case "fresh":
		return s.within(d, "fresh", func() int {
			return s.mesh.count(func(n *node) bool { return !n.watchdog.Fresh() })
		})
	case "leave":
		return s.leave(d)
	case "converged":
		return s.converged(d)
	case "present":
		return s.present(d)
	case "absent":
		return s.absent(d)
	case "check":
		return s.check(d)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

// stop ends all nodes, since a bubble must not be left with goroutines.
func (s *script) stop() {
	if s.mesh != nil {
		s.mesh.stopAll()
	}
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return parsed
}

func (s *script) start(d *datadriven.TestData) string {
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
	s.teams = teams
	s.mesh.publish(model.RootKey, rootDocument(teams))
	for i := range teams {
		s.publishTeam(i)
	}
	s.mesh.fill(count)
	return ""
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// rootDocument grants each team a path.
func rootDocument(teams int) string {
	text := "teams:\n"
	for i := range teams {
		text += fmt.Sprintf("  %s: {hosts: [sewa.example], paths: [/%s]}\n", teamName(i), teamName(i))
	}
	return text
}

// publishTeam publishes a new version of a team's document.
func (s *script) publishTeam(i int) {
	s.versions++
	text := fmt.Sprintf("team: %s\nservices:\n  app: {slots: 6, long_slots: 2, queue: %d}\n", teamName(i), s.versions)
	text += fmt.Sprintf("routes:\n  all: {hosts: [sewa.example], path: /%s, service: app}\n", teamName(i))
	s.mesh.publish(model.TeamKey(model.TeamName(teamName(i))), text)
}

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

// kill ends a random half of all nodes, or all nodes of a domain.
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

func (s *script) setParted(d *datadriven.TestData, parted bool) {
	var domain string
	d.ScanArgs(s.t, "domain", &domain)
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.mesh.cutOff[model.FailureDomain(domain)] = parted
	if !d.HasArg("platform-only") {
		s.mesh.cut[model.FailureDomain(domain)] = parted
	}
}

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

// listGhosts lists instances of a further failure domain whose nodes never run.
func (s *script) listGhosts(d *datadriven.TestData) {
	var count int
	var domain string
	d.ScanArgs(s.t, "count", &count)
	d.ScanArgs(s.t, "domain", &domain)
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	for i := range count {
		s.mesh.list(identity(1000+i, model.FailureDomain(domain)))
	}
	s.mesh.platform.notify()
}

// pause stops the control loop of a node for a time and tells whether traffic
// goroutines that wake before it, and right after it, take the node for fresh.
func (s *script) pause(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	n := s.mesh.node(model.InstanceID(id))
	m := stall{resume: make(chan struct{})}
	n.kernel.Loop().TryPost(m)
	s.mesh.advance(duration(s.t, d, "for"))
	before := n.watchdog.Fresh()
	close(m.resume)
	synctest.Wait()
	return fmt.Sprintf("fresh before its loop wakes: %t, after: %t", before, n.watchdog.Fresh())
}

func (s *script) leave(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	n := s.mesh.node(model.InstanceID(id))
	if !n.alive() {
		d.Fatalf(s.t, "%s is dead", id)
	}
	n.kernel.Loop().TryPost(control.PresenceChanged{Presence: model.PresenceLeaving})
	return fmt.Sprintf("listed as %s", s.mesh.listed(n.self.ID))
}
