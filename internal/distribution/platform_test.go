package distribution

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/source"
)

// callTimeout ends a call that the network loses.
const callTimeout = 5 * time.Second

// platform is the configuration service: it counts each call against a limit.
type platform struct {
	clock     clock.Clock
	revision  model.Revision
	values    map[model.Key]source.Value
	instances []model.Member
	listed    model.Revision
	changed   chan struct{}
	outage    bool
	// stale is the revision of the old copy that answers; 0 means none.
	stale model.Revision
	limit int
	// second and calls count the calls of the present second.
	second  int64
	calls   int
	highest int
	refused int
}

func newPlatform(clk clock.Clock, limit int) *platform {
	return &platform{clock: clk, values: make(map[model.Key]source.Value), changed: make(chan struct{}), limit: limit}
}

// admit counts a call. The mesh's lock is held.
func (p *platform) admit() error {
	if now := p.clock.Now().Unix(); now != p.second {
		p.second, p.calls = now, 0
	}
	p.calls++
	p.highest = max(p.highest, p.calls)
	switch {
	case p.outage:
		return &source.BusyError{Status: "503"}
	case p.calls > p.limit:
		p.refused++
		return &source.BusyError{Status: "429", RetryAfter: time.Second}
	}
	return nil
}

func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// platformLink is the platform as one node sees it.
type platformLink struct {
	mesh *mesh
	node *node
}

// reach moves a call to the platform, which some domains cannot reach.
func (l *platformLink) reach(ctx context.Context) error {
	_ = clock.Wait(ctx, l.mesh.clock, remoteDelay)
	l.mesh.mu.Lock()
	parted := l.mesh.cutOff[l.node.self.Domain]
	l.mesh.mu.Unlock()
	if !parted {
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, l.mesh.clock, callTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// held waits until news is true, the wait is over or an outage begins.
func (l *platformLink) held(ctx context.Context, wait time.Duration, news func(*platform) bool) error {
	if err := l.reach(ctx); err != nil {
		return err
	}
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	p := l.mesh.platform
	if err := p.admit(); err != nil {
		return err
	}
	ctx, cancel := clock.WithTimeout(ctx, l.mesh.clock, wait)
	defer cancel()
	for ctx.Err() == nil && !p.outage && !news(p) {
		changed := p.changed
		l.mesh.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mesh.mu.Lock()
	}
	if p.outage {
		return &source.BusyError{Status: "503"}
	}
	return nil
}

func (p *platform) shown() model.Revision {
	if p.stale > 0 {
		return p.stale
	}
	return p.revision
}

// Keys implements source.Platform.
func (l *platformLink) Keys(ctx context.Context, after model.Revision, wait time.Duration) (source.KeyListing, error) {
	if err := l.held(ctx, wait, func(p *platform) bool { return p.shown() > after }); err != nil {
		return source.KeyListing{}, err
	}
	_ = clock.Wait(ctx, l.mesh.clock, remoteDelay)
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	out := source.KeyListing{Revision: l.mesh.platform.shown()}
	for key, v := range l.mesh.platform.values {
		if v.Revision > after && v.Revision <= out.Revision {
			out.Changes = append(out.Changes, reading.KeyChange{Key: key, Revision: v.Revision})
		}
	}
	return out, ctx.Err()
}

// Value implements source.Platform.
func (l *platformLink) Value(ctx context.Context, key model.Key) (source.Value, error) {
	if err := l.reach(ctx); err != nil {
		return source.Value{}, err
	}
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	p := l.mesh.platform
	if err := p.admit(); err != nil {
		return source.Value{}, err
	}
	v, ok := p.values[key]
	if !ok || v.Revision > p.shown() {
		return source.Value{}, source.ErrNoValue
	}
	return v, ctx.Err()
}

// Instances implements source.Platform.
func (l *platformLink) Instances(ctx context.Context, after model.Revision, wait time.Duration) (source.InstanceListing, error) {
	if err := l.held(ctx, wait, func(p *platform) bool { return p.listed > after }); err != nil {
		return source.InstanceListing{}, err
	}
	_ = clock.Wait(ctx, l.mesh.clock, remoteDelay)
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	out := source.InstanceListing{Revision: l.mesh.platform.listed}
	for _, m := range l.mesh.platform.instances {
		if m.ListedAt > after {
			out.Members = append(out.Members, m)
		}
	}
	return out, ctx.Err()
}
