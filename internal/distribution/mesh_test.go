package distribution

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/source"
)

// resolution is the minimum step of simulated time.
const resolution = time.Millisecond

// mesh holds the nodes, the network and the platform of a simulation.
type mesh struct {
	domains []model.FailureDomain
	// seeds are the control addresses that each node contacts first.
	seeds []string
	clock *clock.Fake

	mu        sync.Mutex
	platform  *platform
	nodes     []*node
	byAddress map[string]*node
	// partitioned is the set of domains that are partitioned from all others.
	partitioned map[model.FailureDomain]bool
	// withoutPlatform is the set of domains that do not reach the platform, cutNodes that
	// of single nodes.
	withoutPlatform map[model.FailureDomain]bool
	cutNodes        map[model.InstanceID]bool
	// silentNodes do not respond to other nodes.
	silentNodes map[model.InstanceID]bool
	// withoutKeys is the set of nodes to which the platform does not list keys.
	withoutKeys map[model.InstanceID]bool
	// direct is exchange.Config.Direct of all nodes. With slowLinks, only the links of a
	// few nodes can carry the configuration.
	direct, slowLinks bool
	// pacing and pollTimes are those of the nodes of a direct mesh. slowTransfer is how
	// long the whole configuration takes on a slow link.
	pacing       source.Pacing
	pollTimes    exchange.PollTimes
	slowTransfer time.Duration
	callTimeout  time.Duration
	// lastRevisions holds the newest revisions that each instance has run, in any
	// process.
	lastRevisions map[model.InstanceID]map[model.Key]model.Revision
	reversions    []string
	// announced counts the announcements that all nodes have sent.
	announced atomic.Int64
	// synchronised counts the control.Synchronised messages of all nodes.
	synchronised atomic.Int64
	// bytesPerNode counts the bytes that each node has sent and received.
	bytesPerNode map[model.InstanceID]uint64
	// starts is the number of processes started, and the random seed of the last one.
	starts uint64
}

func newMesh(domains []model.FailureDomain, limit int) *mesh {
	fake := clock.NewFake(time.Unix(0, 0))
	return &mesh{
		domains:         domains,
		clock:           fake,
		platform:        newPlatform(fake, limit),
		byAddress:       make(map[string]*node),
		partitioned:     make(map[model.FailureDomain]bool),
		withoutPlatform: make(map[model.FailureDomain]bool),
		cutNodes:        make(map[model.InstanceID]bool),
		silentNodes:     make(map[model.InstanceID]bool),
		withoutKeys:     make(map[model.InstanceID]bool),
		pacing:          directPacing,
		pollTimes:       directPollTimes,
		callTimeout:     callTimeout,
		lastRevisions:   make(map[model.InstanceID]map[model.Key]model.Revision),
		bytesPerNode:    make(map[model.InstanceID]uint64),
	}
}

// startAll makes the first node of each domain a seed.
func (m *mesh) startAll(count int) {
	for i := range count {
		domain := m.domains[i%len(m.domains)]
		self := newSelf(i, domain)
		if i < len(m.domains) {
			m.seeds = append(m.seeds, self.Addresses.Control)
		}
		m.addListing(self)
		m.nodes = append(m.nodes, newNode(self))
	}
	for i := range m.nodes {
		m.start(i)
	}
}

func (m *mesh) addListing(self model.Self) {
	m.platform.listRevision++
	listed := self.Member(model.PresenceUnknown)
	if m.direct {
		listed.ID = serverID(self.ID)
	}
	listed.Announced = model.Announcement{}
	listed.Listed, listed.ListedAt = model.ListingLive, m.platform.listRevision
	m.platform.instances = append(m.platform.instances, listed)
}

func newSelf(i int, domain model.FailureDomain) model.Self {
	id := fmt.Sprintf("node-%03d", i)
	return model.Self{
		ID: model.InstanceID(id), Service: "katalog/katalog", Domain: domain,
		Addresses: model.Addresses{Control: id + ":1", Traffic: id + ":2", Operator: id + ":3"},
	}
}

// start starts a new process for an instance.
func (m *mesh) start(i int) {
	self := m.nodes[i].self
	m.starts++
	self.Incarnation = model.Incarnation(m.clock.Now().UnixMilli())
	n := startNode(m, self, m.starts)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[i] = n
	m.byAddress[self.Addresses.Control] = n
}

func (m *mesh) stopAll() {
	for _, n := range m.nodes {
		if n.alive() {
			n.kill()
		}
	}
}

// nodeAt returns nil if no live node has the address.
func (m *mesh) nodeAt(address string) *node {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.byAddress[address]
	if n == nil || !n.alive() {
		return nil
	}
	return n
}

// recordConfiguration records the revisions that a node runs, and each reversion: a
// revision older than the newest that its instance has ever run.
func (m *mesh) recordConfiguration(id model.InstanceID, configuration *model.Configuration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lastRevisions[id]
	if last == nil {
		last = make(map[model.Key]model.Revision)
		m.lastRevisions[id] = last
	}
	for key, subtree := range configuration.Running {
		if subtree.Revision < last[key] {
			m.reversions = append(m.reversions, fmt.Sprintf("%s: %s from %d to %d", id, key, last[key], subtree.Revision))
		}
		last[key] = max(last[key], subtree.Revision)
	}
}

func (m *mesh) countBytes(a, b *node, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytesPerNode[a.self.ID] += uint64(n)
	m.bytesPerNode[b.self.ID] += uint64(n)
}

// publish stores a value on the platform and returns its revision.
func (m *mesh) publish(key model.Key, text string) model.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.platform
	p.revision++
	p.values[key] = source.Value{Key: key, Revision: p.revision, Text: []byte(text)}
	p.notify()
	return p.revision
}

// countLagging returns the number of live nodes that do not run the newest revision of
// all documents.
func (m *mesh) countLagging() int {
	m.mu.Lock()
	newest := m.platform.revision
	m.mu.Unlock()
	return m.countNodes(func(n *node) bool { return n.behind(newest) })
}

// advance advances the simulated time. At each instant at which a timer fires, it waits
// until every goroutine is blocked again.
func (m *mesh) advance(d time.Duration) {
	end := m.clock.Now().Add(d)
	for {
		synctest.Wait()
		next, ok := m.clock.Next()
		if !ok || next.After(end) {
			break
		}
		m.clock.Advance(max(next.Sub(m.clock.Now()), resolution))
	}
	m.clock.Advance(end.Sub(m.clock.Now()))
	synctest.Wait()
}

// countNodes counts live nodes only.
func (m *mesh) countNodes(condition func(*node) bool) int {
	count := 0
	for _, n := range m.nodes {
		if n.alive() && condition(n) {
			count++
		}
	}
	return count
}

// node returns nil if the instance has no node.
func (m *mesh) node(id model.InstanceID) *node {
	for _, n := range m.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

// listing returns ListingUnknown if the instance is not listed.
func (m *mesh) listing(id model.InstanceID) model.Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.platform.instances {
		if i.ID == id {
			return i.Listed
		}
	}
	return model.ListingUnknown
}
