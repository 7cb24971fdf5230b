package distribution

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/source"
)

// platform simulates the platform's configuration service, with a limit on the calls
// per second. The mesh's lock guards it.
type platform struct {
	clock     clock.Clock
	revision  model.Revision
	values    map[model.Key]source.Value
	instances []model.Member
	// listRevision is the revision of instances.
	listRevision model.Revision
	// changed is closed and replaced to wake the long polls.
	changed chan struct{}
	// outage is true while the platform refuses all calls.
	outage bool
	// stale is the revision of the old copy of keys and values that is served; 0 means
	// that the current ones are served.
	stale model.Revision
	// limit is the maximum number of calls per second.
	limit int
	// calls is the number of calls in currentSecond, highestRate its maximum over all
	// seconds, and refusedCalls the number of calls refused because of the limit.
	currentSecond int64
	calls         int
	highestRate   int
	refusedCalls  int
	// totalCalls is the number of calls since the last check of it.
	totalCalls int
}

func newPlatform(clk clock.Clock, limit int) *platform {
	return &platform{clock: clk, values: make(map[model.Key]source.Value), changed: make(chan struct{}), limit: limit}
}

// admitCall counts a call and returns an error if the platform refuses it. The caller
// must hold the mesh's lock.
func (p *platform) admitCall() error {
	if now := p.clock.Now().Unix(); now != p.currentSecond {
		p.currentSecond, p.calls = now, 0
	}
	p.calls++
	p.totalCalls++
	p.highestRate = max(p.highestRate, p.calls)
	switch {
	case p.outage:
		return &source.BusyError{Status: "503"}
	case p.calls > p.limit:
		p.refusedCalls++
		return &source.BusyError{Status: "429", RetryAfter: time.Second}
	}
	return nil
}

// notify wakes all long polls. The caller must hold the mesh's lock.
func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// platformClient implements source.Platform for one node.
type platformClient struct {
	mesh *mesh
	node *node
}

// deliver delays a call by the network delay. In a domain that cannot reach the
// platform, it returns an error after callTimeout.
func (c *platformClient) deliver(ctx context.Context) error {
	_ = clock.Wait(ctx, c.mesh.clock, remoteDelay)
	c.mesh.mu.Lock()
	unreachable, timeout := c.unreachable(), c.mesh.callTimeout
	c.mesh.mu.Unlock()
	if !unreachable {
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, c.mesh.clock, timeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// longPoll waits until hasChanges is true, the wait is over or an outage begins.
func (c *platformClient) longPoll(ctx context.Context, wait time.Duration, hasChanges func(*platform) bool) error {
	if err := c.deliver(ctx); err != nil {
		return err
	}
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	p := c.mesh.platform
	if err := p.admitCall(); err != nil {
		return err
	}
	ctx, cancel := clock.WithTimeout(ctx, c.mesh.clock, wait)
	defer cancel()
	for ctx.Err() == nil && !p.outage && !hasChanges(p) {
		changed := p.changed
		c.mesh.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		c.mesh.mu.Lock()
	}
	if p.outage {
		return &source.BusyError{Status: "503"}
	}
	return nil
}

// visibleRevision returns the newest revision of keys and values that is served.
func (p *platform) visibleRevision() model.Revision {
	if p.stale > 0 {
		return p.stale
	}
	return p.revision
}

// transferKeys takes the time of the values that follow a revision: the platform sends each
// changed value whole. If the node is cut off meanwhile, the response is lost, and the call
// fails at its time limit.
func (c *platformClient) transferKeys(ctx context.Context, after model.Revision, limit time.Time) error {
	c.mesh.mu.Lock()
	changed := c.mesh.platform.visibleRevision() > after
	c.mesh.mu.Unlock()
	if changed && c.mesh.bandwidth(c.node.self) > 0 {
		_ = clock.Wait(ctx, c.mesh.clock, c.mesh.slowTransfer)
	}
	c.mesh.mu.Lock()
	lost := c.unreachable() || c.mesh.withoutKeys[c.node.self.ID]
	c.mesh.mu.Unlock()
	if !lost {
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, c.mesh.clock, limit.Sub(c.mesh.clock.Now()))
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// unreachable reports whether the platform does not get the node's calls. The caller must
// hold the mesh's lock.
func (c *platformClient) unreachable() bool {
	return c.mesh.withoutPlatform[c.node.self.Domain] || c.mesh.cutNodes[c.node.self.ID]
}

// Keys implements source.Platform.
func (c *platformClient) Keys(ctx context.Context, after model.Revision, wait time.Duration) (source.KeyListing, error) {
	limit := c.mesh.clock.Now().Add(wait + c.mesh.callTimeout)
	if err := c.longPoll(ctx, wait, func(p *platform) bool { return p.visibleRevision() > after }); err != nil {
		return source.KeyListing{}, err
	}
	_ = clock.Wait(ctx, c.mesh.clock, remoteDelay)
	if err := c.transferKeys(ctx, after, limit); err != nil {
		return source.KeyListing{}, err
	}
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	out := source.KeyListing{Revision: c.mesh.platform.visibleRevision()}
	for key, v := range c.mesh.platform.values {
		if v.Revision > after && v.Revision <= out.Revision {
			out.Changes = append(out.Changes, platformread.KeyChange{Key: key, Revision: v.Revision})
		}
	}
	return out, ctx.Err()
}

// Value implements source.Platform.
func (c *platformClient) Value(ctx context.Context, key model.Key) (source.Value, error) {
	if err := c.deliver(ctx); err != nil {
		return source.Value{}, err
	}
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	p := c.mesh.platform
	if err := p.admitCall(); err != nil {
		return source.Value{}, err
	}
	v, ok := p.values[key]
	if !ok || v.Revision > p.visibleRevision() {
		return source.Value{}, source.ErrNoValue
	}
	return v, ctx.Err()
}

// Instances implements source.Platform.
func (c *platformClient) Instances(ctx context.Context, after model.Revision, wait time.Duration) (source.InstanceListing, error) {
	if err := c.longPoll(ctx, wait, func(p *platform) bool { return p.listRevision > after }); err != nil {
		return source.InstanceListing{}, err
	}
	_ = clock.Wait(ctx, c.mesh.clock, remoteDelay)
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	out := source.InstanceListing{Revision: c.mesh.platform.listRevision, Complete: after == 0}
	for _, m := range c.mesh.platform.instances {
		if m.ListedAt > after {
			out.Members = append(out.Members, m)
		}
	}
	return out, ctx.Err()
}
