// Package quarantine provides the service that records suspects, which are requests
// that were running when a backend server crashed, and exchanges them with the other
// nodes of the same service. Handlers on the control loop change the suspects; the
// gate reads an immutable snapshot.
package quarantine

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// noticeTimeout bounds the wait until the peers have acknowledged new suspects.
	// The responses to the failed requests are delayed by that wait.
	noticeTimeout = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange of suspects with the peers.
	exchangeTimeout = 500 * time.Millisecond
	// discoveryPeriod is how long after its start a node requests the suspects of
	// newly discovered peers.
	discoveryPeriod = 30 * time.Second
	// prepareTimeout is the time after the start at which the gate accepts requests
	// even if no peer has sent its suspects.
	prepareTimeout = 5 * time.Second
)

// members is the part of the membership service that this service uses.
type members interface {
	ServiceMembers(name model.ServiceName) []model.Member
}

// recorder is the part of the timeline service that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config configures the service.
type Config struct {
	Self model.Self
	// Client sends suspects to peers; nil means one with its own connections.
	Client *http.Client
}

// Service records and exchanges the suspects. Its exported methods are safe for
// concurrent use.
type Service struct {
	self     model.Self
	client   *http.Client
	table    *kernel.Snapshot[quarantine.Table]
	loop     *kernel.Loop
	clock    clock.Clock
	log      *slog.Logger
	members  members
	timeline recorder
	started  time.Time
	wake     chan struct{} // requests an exchange
	done     chan struct{}
	prepared atomic.Bool
	// notifyAll is true while some peers may lack suspects of this node; exchanges
	// then include all peers.
	notifyAll atomic.Bool

	completionsMu sync.Mutex
	completions   quarantine.Completions
}

// New returns a service without suspects.
func New(c Config) *Service {
	if c.Client == nil {
		c.Client = newClient()
	}
	return &Service{
		self:   c.Self,
		client: c.Client,
		table:  kernel.NewSnapshot(quarantine.Table{}),
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return control.Quarantine }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.loop, s.clock, s.log = c.Loop, c.Clock, c.Log
	s.started = c.Clock.Now()
	var err error
	if s.members, err = kernel.Find[members](c, control.Membership); err != nil {
		return err
	}
	if s.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
		return err
	}
	kernel.Subscribe(c.Loop, s.handleSuspectsReceived)
	kernel.Subscribe(c.Loop, s.handleExpiryDue)
	kernel.Subscribe(c.Loop, func(control.Refreshed) { s.requestExchange() })
	kernel.Subscribe(c.Loop, s.handleMembersChanged)
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	timer := s.clock.AfterFunc(prepareTimeout, func() { s.prepared.Store(true) })
	go func() {
		defer close(s.done)
		defer timer.Stop()
		s.exchangeOnRequest(ctx)
	}()
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.client.CloseIdleConnections()
	return nil
}

// Suspects returns the snapshot of the suspects.
func (s *Service) Suspects() *kernel.Snapshot[quarantine.Table] { return s.table }

// Decide returns how this node's gate must treat a request.
func (s *Service) Decide(f quarantine.Fingerprint) quarantine.Decision {
	table := s.table.Load()
	if table.Len() == 0 {
		return quarantine.Decision{Verdict: quarantine.Clear}
	}
	members := s.members.ServiceMembers(s.self.Service)
	return table.Decide(f, s.listedID(members), members, s.clock.Now())
}

// listedID returns the ID of this node's server in the member list. A platform may list
// it under an ID that the node does not know, but with the node's address.
func (s *Service) listedID(members []model.Member) model.InstanceID {
	own := model.Member{ID: s.self.ID}
	for _, m := range members {
		if m.ID == s.self.ID {
			return m.ID
		}
		if m.Present() && m.Addresses.Traffic == s.self.Addresses.Traffic && (own.ID == s.self.ID || m.NewerThan(own)) {
			own = m
		}
	}
	return own.ID
}

// Prepared reports whether the first exchange of suspects with the peers has ended or
// prepareTimeout has passed. The gate accepts no requests before.
func (s *Service) Prepared() bool { return s.prepared.Load() }

// Report records requests that were running when this node's server crashed as
// suspects, except those of which another one completed recently. It returns when the
// gates of the same service have acknowledged them, or after noticeTimeout; peers that
// have not acknowledged them by then are notified again later. The caller must not
// respond to the requests before Report returns, since a retry could otherwise reach a
// gate without the record.
func (s *Service) Report(ctx context.Context, fingerprints []quarantine.Fingerprint) {
	s.recordCrash()
	fingerprints = slices.DeleteFunc(fingerprints, s.completedRecently)
	if len(fingerprints) > 0 {
		s.report(ctx, fingerprints, false)
	}
}

// ReportAlone is Report for a suspect that held the server alone when it crashed. The
// abandoned requests may have been running there too; if another one did not complete
// recently, the evidence is no stronger than that of Report. Earlier completions do not
// count in favour of the suspect itself.
func (s *Service) ReportAlone(ctx context.Context, f quarantine.Fingerprint, abandoned []quarantine.Fingerprint) {
	s.recordCrash()
	others := slices.DeleteFunc(abandoned, func(other quarantine.Fingerprint) bool {
		return other == f || s.completedRecently(other)
	})
	s.report(ctx, append(others, f), len(others) == 0)
}

func (s *Service) report(ctx context.Context, fingerprints []quarantine.Fingerprint, alone bool) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, noticeTimeout)
	defer cancel()
	now := s.clock.Now()
	instance := s.listedID(s.members.ServiceMembers(s.self.Service))
	crashes := []quarantine.Crash{{Instance: instance, Time: now.UnixMilli(), Alone: alone}}
	suspects := make([]quarantine.Suspect, len(fingerprints))
	for i, f := range fingerprints {
		suspects[i] = quarantine.Suspect{Fingerprint: f, Crashes: crashes, Expires: now.Add(quarantine.Duration)}
	}
	s.log.Info("requests were running when the backend server crashed", "count", len(suspects), "alone", alone)
	s.apply(ctx, suspects)
	if !s.notify(ctx, s.peers(), suspects) {
		s.notifyAll.Store(true)
		s.clock.AfterFunc(initialRetryDelay, s.requestExchange)
	} else if s.anyCleared(fingerprints) {
		s.notifyAll.Store(true)
		s.requestExchange()
	}
}

// anyCleared reports whether a peer has cleared one of the suspects in its response, so
// that the other peers have to be told.
func (s *Service) anyCleared(fingerprints []quarantine.Fingerprint) bool {
	table := s.table.Load()
	return slices.ContainsFunc(fingerprints, func(f quarantine.Fingerprint) bool { return !table.IsSuspect(f) })
}

func (s *Service) recordCrash() {
	s.completionsMu.Lock()
	defer s.completionsMu.Unlock()
	s.completions.Crashed(s.clock.Now())
}

func (s *Service) completedRecently(f quarantine.Fingerprint) bool {
	s.completionsMu.Lock()
	defer s.completionsMu.Unlock()
	return s.completions.Recent(f, s.clock.Now())
}

// Completed records that a request that began at started has run on this node's server.
// If the server has not crashed since, that clears its suspicion. Completed does not wait;
// the other gates are notified later. If the mailbox of the control loop is full, a
// suspect is not cleared.
func (s *Service) Completed(f quarantine.Fingerprint, started time.Time) {
	s.completionsMu.Lock()
	counts := s.completions.Add(f, started, s.clock.Now())
	s.completionsMu.Unlock()
	if !counts {
		return
	}
	if suspect, ok := s.table.Load().Suspect(f); ok {
		s.loop.TryPost(suspectsReceived{
			suspects: []quarantine.Suspect{suspect.Clear()}, applied: make(chan struct{}), notifyPeers: true,
		})
	}
}

// HandleSuspects records the suspects that a peer sent and returns all suspects of this
// node. node is the peer's instance ID. The exchange service calls it for each request
// of a peer.
func (s *Service) HandleSuspects(node string, in []quarantine.Suspect) []quarantine.Suspect {
	ctx, cancel := clock.WithTimeout(context.Background(), s.clock, noticeTimeout)
	defer cancel()
	if len(in) > 0 {
		s.log.Info("suspects received", "peer", node, "count", len(in))
		s.apply(ctx, s.clearCompleted(in))
	}
	return s.table.Load().Suspects(s.clock.Now())
}

// clearCompleted clears the suspects of which this node's server completed one recently,
// unless a server crashed while one of them ran alone.
func (s *Service) clearCompleted(in []quarantine.Suspect) []quarantine.Suspect {
	for i, suspect := range in {
		if !suspect.RanAlone() && s.completedRecently(suspect.Fingerprint) {
			in[i] = suspect.Clear()
		}
	}
	return in
}

// apply posts suspects to the control loop and waits until the snapshot contains
// them or the context ends.
func (s *Service) apply(ctx context.Context, in []quarantine.Suspect) {
	applied := make(chan struct{})
	if err := s.loop.Post(ctx, suspectsReceived{suspects: in, applied: applied}); err != nil {
		s.log.Error("suspects not recorded: the control loop did not accept them", "error", err)
		return
	}
	select {
	case <-applied:
	case <-ctx.Done():
		s.log.Error("suspects not recorded in time: the control loop has not yet handled them")
	}
}
