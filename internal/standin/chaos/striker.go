package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

const (
	// leastPause and spanOfPauses bound the time between two failures.
	leastPause   = 200 * time.Millisecond
	spanOfPauses = 600 * time.Millisecond
	// leastFailure and spanOfFailures bound how long a failure lasts.
	leastFailure   = 300 * time.Millisecond
	spanOfFailures = 3 * time.Second
	// herd is the number of nodes killed together.
	herd = 4
	// series is the number of pauses in a row.
	series = 4
	// longestDelay bounds the delay of a slow link, and its variation.
	longestDelay = 120 * time.Millisecond
	// keptRunning is the number of nodes that no failure touches at a time, so
	// that the state of the mesh survives.
	keptRunning = 6
)

// striker causes failures. The sequence depends on the seed alone; what the
// processes make of it depends on the machine.
type striker struct {
	mesh      *mesh.Mesh
	publisher *publisher
	random    *rand.Rand
	out       io.Writer
	published int
	repairs   sync.WaitGroup

	mu sync.Mutex
	// failing holds the nodes that are killed or paused now.
	failing map[*mesh.Node]bool
	// platformFailing is true while the platform is down or stale.
	platformFailing bool
}

func newStriker(m *mesh.Mesh, p *publisher, seed uint64, out io.Writer) *striker {
	return &striker{
		mesh:      m,
		publisher: p,
		random:    rand.New(rand.NewPCG(seed, seed)),
		out:       out,
		failing:   make(map[*mesh.Node]bool),
	}
}

// run causes failures until the first context ends, then waits for all repairs
// and publishes a last good version. The second context bounds the repairs.
func (s *striker) run(ctx, repairCtx context.Context) {
	actions := []func(context.Context){
		s.killOne, s.killHerd, s.pauseOne, s.pauseOne, s.restartOne, s.restartOne,
		s.failPlatform, s.publishRace, s.publishRace, s.crashServer, s.cutLink,
		s.pauseInSeries, s.killDraining, s.reloadSome, s.resetLinks, s.delayLinks,
	}
	for clock.Wait(ctx, clock.System{}, leastPause+s.upTo(spanOfPauses)) == nil {
		actions[s.random.IntN(len(actions))](repairCtx)
	}
	s.repairs.Wait()
	s.publishAllGood()
}

func (s *striker) upTo(span time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(span)))
}

func (s *striker) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%s  %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// claim chooses a node that is not failing, unless too few would be left.
func (s *striker) claim() (*mesh.Node, bool) {
	n := s.mesh.Nodes[s.random.IntN(len(s.mesh.Nodes))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing[n] || len(s.failing) >= len(s.mesh.Nodes)-keptRunning {
		return nil, false
	}
	s.failing[n] = true
	return n, true
}

func (s *striker) release(n *mesh.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failing, n)
}

// later repairs a failure after a random time.
func (s *striker) later(ctx context.Context, repair func()) {
	after := leastFailure + s.upTo(spanOfFailures)
	s.repairs.Go(func() {
		_ = clock.Wait(ctx, clock.System{}, after) // the repair is due in any case
		repair()
	})
}

// startAgain starts a node and lets it be chosen again.
func (s *striker) startAgain(ctx context.Context, n *mesh.Node) {
	defer s.release(n)
	if err := n.Start(ctx); err != nil {
		s.logf("%s does not start: %v", n.ID, err)
		return
	}
	s.logf("%s is started again", n.ID)
}

func (s *striker) publishAllGood() {
	s.published++
	for _, team := range mesh.Egypt().Teams() {
		if err := s.publisher.publishGood(team, s.published); err != nil {
			s.logf("publishing: %v", err)
		}
	}
}

// failPlatform takes the platform down; it comes back stale, then current.
func (s *striker) failPlatform(ctx context.Context) {
	s.mu.Lock()
	failing := s.platformFailing
	s.platformFailing = true
	s.mu.Unlock()
	if failing {
		return
	}
	outage := []platform.Outage{platform.OutageError, platform.OutageClosed, platform.OutageSilent}[s.random.IntN(3)]
	old := s.mesh.Platform.Revision() / 2
	stale := leastFailure + s.upTo(spanOfFailures)
	s.logf("platform down (%s), then stale at revision %d for %s", outage, old, stale.Round(time.Millisecond))
	s.mesh.Platform.SetMode(platform.Mode{Outage: outage})
	s.later(ctx, func() {
		s.mesh.Platform.SetMode(platform.Mode{})
		s.mesh.Platform.SetStaleAt(old)
		_ = clock.Wait(ctx, clock.System{}, stale) // the repair is due in any case
		s.mesh.Platform.SetMode(platform.Mode{})
		s.logf("platform current again")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.platformFailing = false
	})
}
