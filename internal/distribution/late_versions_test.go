package distribution

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

var (
	lateSeed  = flag.Uint64("late-seed", 1007, "first seed of TestVersionsAreInForceInTimeDuringFailures")
	lateSeeds = flag.Int("late-seeds", 2, "number of seeds of TestVersionsAreInForceInTimeDuringFailures")
)

const (
	// versionBound is the time within which a version must be in force on a node in
	// touch: neither it nor the platform was disturbed for touchWindow.
	versionBound = 2500 * time.Millisecond
	touchWindow  = 3 * time.Second
	// wholeTransfer is how long the whole configuration takes on a slow link: 2,500 routes
	// on 7.7 Mbit/s.
	wholeTransfer = 800 * time.Millisecond
)

// failures plays random failures on a mesh and checks when versions are in force.
type failures struct {
	*script
	begin time.Time
	// calmSince holds when the last disturbance of a node ends, or of the platform under
	// the empty ID.
	calmSince map[model.InstanceID]time.Time
	ends      []disturbanceEnd
	versions  []publishedVersion
	late      map[string]bool
}

// disturbanceEnd ends a disturbance.
type disturbanceEnd struct {
	at  time.Time
	end func()
}

type publishedVersion struct {
	revision model.Revision
	at       time.Time
}

func (f *failures) now() time.Time { return f.mesh.clock.Now() }

func (f *failures) since(t time.Time) time.Duration {
	return max(0, t.Sub(f.begin)).Round(time.Millisecond)
}

// disturb begins a disturbance and ends it after a time. Only one at a time disturbs the
// same node; others are left out.
func (f *failures) disturb(id model.InstanceID, d time.Duration, set func(disturbed bool)) {
	if f.calmSince[id].After(f.now()) {
		return
	}
	f.calmSince[id] = f.now().Add(d)
	set(true)
	f.ends = append(f.ends, disturbanceEnd{f.calmSince[id], func() { set(false) }})
}

func (f *failures) mark(m map[model.InstanceID]bool, id model.InstanceID, value bool) {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	m[id] = value
}

// isolate cuts a node from the platform and from all other nodes.
func (f *failures) isolate(n *node, isolated bool) {
	f.mark(f.mesh.silentNodes, n.self.ID, isolated)
	f.mark(f.mesh.cutNodes, n.self.ID, isolated)
}

// disturbNode disturbs a node by the failure of the given name.
func (f *failures) disturbNode(i int, failure string, d time.Duration) {
	n := f.mesh.nodes[i]
	switch failure {
	case "isolated":
		f.disturb(n.self.ID, d, func(disturbed bool) { f.isolate(n, disturbed) })
	case "frozen":
		message := stall{resume: make(chan struct{})}
		f.disturb(n.self.ID, d, func(disturbed bool) {
			f.isolate(n, disturbed)
			if disturbed {
				n.kernel.Loop().TryPost(message)
			} else {
				close(message.resume)
			}
		})
	case "cut from the platform":
		f.disturb(n.self.ID, d, func(disturbed bool) { f.mark(f.mesh.cutNodes, n.self.ID, disturbed) })
	case "restarted":
		f.disturb(n.self.ID, d, func(disturbed bool) {
			if disturbed {
				n.kill()
			} else {
				f.mesh.start(i)
			}
		})
	}
}

// targets returns the indices of random nodes, or of the readers or the nodes with wide
// links of a random failure domain.
func (f *failures) targets() (kind string, indices []int) {
	share, domain := 0.05+0.4*f.rng.Float64(), f.mesh.domains[f.rng.IntN(len(f.mesh.domains))]
	kind = []string{"random", "wide", "reading"}[f.rng.IntN(3)]
	for i, n := range f.mesh.nodes {
		chosen := false
		switch kind {
		case "random":
			chosen = f.rng.Float64() < share
		case "wide":
			chosen = n.self.Domain == domain && f.mesh.bandwidth(n.self) == 0
		case "reading":
			none := [rank.MaxFollowed]model.InstanceID{}
			place := rank.Follow(n.membership.View().Load(), n.self, none, func(string) bool { return false }, rank.NoFailures())
			chosen = n.self.Domain == domain && place.Reader
		}
		if chosen {
			indices = append(indices, i)
		}
	}
	return kind, indices
}

// setPlatformSilent makes all calls to the platform hang.
func (f *failures) setPlatformSilent(silent bool) {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	for _, domain := range f.mesh.domains {
		f.mesh.withoutPlatform[domain] = silent
	}
}

func (f *failures) setOutage(outage bool) {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	f.mesh.platform.outage = outage
	f.mesh.platform.notify()
}

// step publishes a version or begins a disturbance.
func (f *failures) step() {
	d := time.Duration(500+f.rng.IntN(3500)) * time.Millisecond
	switch choice := f.rng.IntN(12); {
	case choice < 6:
		if f.calmSince[""].After(f.now()) {
			return // the platform accepts nothing
		}
		f.publishTeam(f.rng.IntN(f.teams))
		f.versions = append(f.versions, publishedVersion{f.mesh.platform.revision, f.now()})
	case choice < 10:
		kind, indices := f.targets()
		failure := []string{"isolated", "frozen", "cut from the platform", "restarted"}[choice-6]
		f.t.Logf("%s: %d %s nodes %s for %s", f.since(f.now()), len(indices), kind, failure, d)
		for _, i := range indices {
			f.disturbNode(i, failure, d)
		}
	case choice == 10:
		f.t.Logf("%s: platform refuses calls for %s", f.since(f.now()), d)
		f.disturb("", d, f.setOutage)
	default:
		f.t.Logf("%s: platform silent for %s", f.since(f.now()), d)
		f.disturb("", d, f.setPlatformSilent)
	}
}

// pass lets time pass, ends the disturbances that are due and checks all nodes.
func (f *failures) pass(d time.Duration) {
	for end := f.now().Add(d); f.now().Before(end); {
		f.mesh.advance(step)
		var remaining []disturbanceEnd
		for _, e := range f.ends {
			if f.now().Before(e.at) {
				remaining = append(remaining, e)
			} else {
				e.end()
			}
		}
		f.ends = remaining
		f.check()
	}
}

// check reports the nodes in touch that do not know a version that must be in force.
func (f *failures) check() {
	now := f.now()
	if now.Sub(f.calmSince[""]) <= touchWindow {
		return
	}
	var due publishedVersion
	for _, v := range f.versions {
		if now.Sub(v.at) > versionBound {
			due = v
		}
	}
	for _, n := range f.mesh.nodes {
		known := n.config.Configuration().Load().Cut.Revision
		report := fmt.Sprint(n.self.ID, due.revision)
		if !n.alive() || now.Sub(f.calmSince[n.self.ID]) <= touchWindow || known >= due.revision || f.late[report] {
			continue
		}
		f.late[report] = true
		f.t.Errorf("%s: %s has revision %d; revision %d was published at %s, the node is undisturbed since %s, the platform since %s",
			f.since(now), n.self.ID, known, due.revision, f.since(due.at), f.since(f.calmSince[n.self.ID]), f.since(f.calmSince[""]))
	}
}

// TestVersionsAreInForceInTimeDuringFailures plays seeded random failures of nodes and of
// the platform. It guards against nodes that are behind although nothing disturbs them.
func TestVersionsAreInForceInTimeDuringFailures(t *testing.T) {
	for seed := *lateSeed; seed < *lateSeed+uint64(*lateSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{t: t, rng: rand.New(rand.NewPCG(seed, 0)), teams: 4}
				defer s.stop()
				s.mesh = newMesh([]model.FailureDomain{"a", "b", "c"}, 6000)
				s.mesh.direct, s.mesh.slowLinks, s.mesh.slowTransfer = true, true, wholeTransfer
				s.mesh.callTimeout = touchWindow / 4
				s.mesh.pacing.WatchWait, s.mesh.pacing.ListInterval = 3*versionBound/8, versionBound/4
				s.mesh.pollTimes.Wait, s.mesh.pollTimes.MaxSilence = versionBound/4, 6*versionBound/10
				s.mesh.pollTimes.SearchAfter = 4 * versionBound / 10
				s.mesh.publish(model.RootKey, rootDocument(s.teams))
				for i := range s.teams {
					s.publishTeam(i)
				}
				s.mesh.startAll(75)
				f := &failures{script: s, begin: s.mesh.clock.Now(), calmSince: map[model.InstanceID]time.Time{}, late: map[string]bool{}}
				f.pass(8 * time.Second) // until all nodes are current
				for range 40 {
					f.step()
					f.pass(time.Duration(100+f.rng.IntN(900)) * time.Millisecond)
				}
				f.pass(touchWindow + 2*versionBound)
			})
		})
	}
}
