package distribution

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/source"
)

// resolution is the least step of simulated time.
const resolution = time.Millisecond

// mesh is all nodes, the network and the platform.
type mesh struct {
	domains []model.FailureDomain
	seeds   []string
	clock   *clock.Fake

	mu       sync.Mutex
	platform *platform
	nodes    []*node
	byAddr   map[string]*node
	// cut holds the domains that are parted from all others.
	cut map[model.FailureDomain]bool
	// cutOff holds the domains that do not reach the platform.
	cutOff map[model.FailureDomain]bool
	// last holds the newest revisions that each instance has run, in any
	// process.
	last     map[model.InstanceID]map[model.Key]model.Revision
	reverted []string
	// announced counts the announcements of all nodes.
	announced atomic.Int64
	perNode   map[model.InstanceID]uint64
	lives     uint64
}

func newMesh(domains []model.FailureDomain, limit int) *mesh {
	clk := clock.NewFake(time.Unix(0, 0))
	return &mesh{
		domains:  domains,
		clock:    clk,
		platform: newPlatform(clk, limit),
		byAddr:   make(map[string]*node),
		cut:      make(map[model.FailureDomain]bool),
		cutOff:   make(map[model.FailureDomain]bool),
		last:     make(map[model.InstanceID]map[model.Key]model.Revision),
		perNode:  make(map[model.InstanceID]uint64),
	}
}

// fill starts the nodes of a mesh. The first node of each domain is a seed.
func (m *mesh) fill(count int) {
	for i := range count {
		domain := m.domains[i%len(m.domains)]
		self := identity(i, domain)
		if i < len(m.domains) {
			m.seeds = append(m.seeds, self.Addresses.Control)
		}
		m.list(self)
		m.nodes = append(m.nodes, newNode(self))
	}
	for i := range m.nodes {
		m.start(i)
	}
}

// list adds an instance to the platform's list.
func (m *mesh) list(self model.Self) {
	m.platform.listed++
	listed := self.Member(model.PresenceUnknown)
	listed.Announced = model.Announcement{}
	listed.Listed, listed.ListedAt = model.ListingLive, m.platform.listed
	m.platform.instances = append(m.platform.instances, listed)
}

func identity(i int, domain model.FailureDomain) model.Self {
	id := fmt.Sprintf("node-%03d", i)
	return model.Self{
		ID: model.InstanceID(id), Service: "katalog/katalog", Domain: domain,
		Addresses: model.Addresses{Control: id + ":1", Traffic: id + ":2", Operator: id + ":3"},
	}
}

// start runs a new process for an instance.
func (m *mesh) start(i int) {
	self := m.nodes[i].self
	m.lives++
	self.Incarnation = model.Incarnation(m.clock.Now().UnixMilli())
	n := startNode(m, self, m.lives)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[i] = n
	m.byAddr[self.Addresses.Control] = n
}

func (m *mesh) stopAll() {
	for _, n := range m.nodes {
		if n.alive() {
			n.kill()
		}
	}
}

func (m *mesh) nodeAt(address string) *node {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.byAddr[address]
	if n == nil || !n.alive() {
		return nil
	}
	return n
}

// observe compares what a node runs with what its instance ever ran before.
func (m *mesh) observe(id model.InstanceID, c *model.Configuration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last[id]
	if last == nil {
		last = make(map[model.Key]model.Revision)
		m.last[id] = last
	}
	for key, subtree := range c.Running {
		if subtree.Revision < last[key] {
			m.reverted = append(m.reverted, fmt.Sprintf("%s: %s from %d to %d", id, key, last[key], subtree.Revision))
		}
		last[key] = max(last[key], subtree.Revision)
	}
}

func (m *mesh) countBytes(a, b *node, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.perNode[a.self.ID] += uint64(n)
	m.perNode[b.self.ID] += uint64(n)
}

// publish stores one value and returns the new revision.
func (m *mesh) publish(key model.Key, text string) model.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.platform
	p.revision++
	p.values[key] = source.Value{Key: key, Revision: p.revision, Text: []byte(text)}
	p.notify()
	return p.revision
}

// lagging counts the live nodes that do not run the newest revision.
func (m *mesh) lagging() int {
	m.mu.Lock()
	newest := m.platform.revision
	m.mu.Unlock()
	return m.count(func(n *node) bool { return n.behind(newest) })
}

// advance lets simulated time pass. After each instant at which a timer fires,
// it waits until every goroutine is blocked again.
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

// count returns the number of live nodes that fulfil a condition.
func (m *mesh) count(condition func(*node) bool) int {
	count := 0
	for _, n := range m.nodes {
		if n.alive() && condition(n) {
			count++
		}
	}
	return count
}

func (m *mesh) node(id model.InstanceID) *node {
	for _, n := range m.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

// listed returns the state of an instance in the platform's list.
func (m *mesh) listed(id model.InstanceID) model.Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.platform.instances {
		if i.ID == id {
			return i.Listed
		}
	}
	return model.ListingUnknown
}
