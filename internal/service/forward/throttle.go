package forward

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/throttle"
	"github.com/galenalever/galenalever/internal/model"
)

// throttles holds the throttles of the services that this node sends requests to. It is
// safe for concurrent use.
type throttles struct {
	byService sync.Map // model.ServiceName -> *serviceThrottle
	scope     tally.Scope
}

type serviceThrottle struct {
	name     model.ServiceName
	mu       sync.Mutex
	decision throttle.Throttle
	refused  []uint64 // requests refused before the first hop, by level
}

func (t *throttles) forService(name model.ServiceName) *serviceThrottle {
	found, ok := t.byService.Load(name)
	if !ok {
		found, _ = t.byService.LoadOrStore(name, &serviceThrottle{name: name, refused: make([]uint64, len(throttle.Levels()))})
	}
	return found.(*serviceThrottle)
}

// throttled reports whether requests of a route are throttled. Without an objective or a
// priority they wait at the gates until their deadline.
func throttled(r *model.Route) bool { return r.Objective > 0 || r.Priority > 0 }

// throttlesRequest reports whether admit may refuse the request.
func (s *Service) throttlesRequest(q *call.Request) bool {
	return !s.config.NoThrottle && throttled(q.Route)
}

func (s *Service) throttleLevel(q *call.Request) throttle.Level {
	overdue := q.Route.Objective > 0 && !s.clock.Now().Before(q.SoftDeadline)
	return throttle.LevelOf(q.Priority, throttle.ClassOf(q.FinalAttempt, overdue))
}

// admit decides whether a request may be sent to a gate. It returns a function that must
// be called with the result of the request, or false if the request is refused.
func (s *Service) admit(q *call.Request) (func(result), bool) {
	if !s.throttlesRequest(q) {
		return func(result) {}, true
	}
	service := s.throttles.forService(q.Destination.Service.Name)
	level := s.throttleLevel(q)
	const mantissaBits = 53
	random := float64(s.config.Random.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
	service.mu.Lock()
	ticket, ok := service.decision.Admit(level, s.sinceStart(), random)
	if !ok {
		service.refused[level]++
	}
	service.mu.Unlock()
	if !ok {
		s.throttles.count(service.name, level)
		return nil, false
	}
	return func(last result) {
		service.mu.Lock()
		defer service.mu.Unlock()
		service.decision.Done(ticket, throttleOutcome(last), s.sinceStart())
	}, true
}

func (s *Service) sinceStart() time.Duration { return s.clock.Now().Sub(s.start) }

// throttleOutcome returns what the last attempt of a request says about the capacity of
// the service. Only a refusal that a gate itself reported counts.
func throttleOutcome(last result) throttle.Outcome {
	switch {
	case last.Outcome == model.OutcomeAnswered:
		return throttle.Accepted
	case last.Outcome != model.OutcomeNotRun || !last.report.Reported:
		return throttle.Unrelated
	}
	switch last.Reason {
	case model.ReasonBusy, model.ReasonQueueFull, model.ReasonLate:
		return throttle.Refused
	}
	return throttle.Unrelated
}

func (t *throttles) count(name model.ServiceName, l throttle.Level) {
	if t.scope == nil {
		return
	}
	priority, _ := l.Split()
	tags := map[string]string{"service": string(name), "priority": strconv.Itoa(priority)}
	t.scope.Tagged(tags).Counter("forward_throttled").Inc(1)
}

// ThrottleStatus is the throttling of one service and priority on the status page.
type ThrottleStatus struct {
	Service  model.ServiceName `json:"service"`
	Priority int               `json:"priority"`
	// FinalAttempts is true for requests whose callers have no time to retry.
	FinalAttempts bool `json:"final_attempts"`
	// Overdue is true for requests that can no longer meet their objective.
	Overdue bool `json:"overdue,omitempty"`
	// Percent is the share that is refused before the first hop now; Refused counts
	// these requests since the start.
	Percent int    `json:"percent"`
	Refused uint64 `json:"refused"`
}

// ThrottleStatus returns the throttled services and priorities. It is safe for concurrent
// use.
func (s *Service) ThrottleStatus() []ThrottleStatus {
	out := []ThrottleStatus{}
	s.throttles.byService.Range(func(_, value any) bool {
		service := value.(*serviceThrottle)
		service.mu.Lock()
		defer service.mu.Unlock()
		for _, l := range throttle.Levels() {
			const percent = 100
			share := int(service.decision.Share(l, s.sinceStart()) * percent)
			if share == 0 && service.refused[l] == 0 {
				continue
			}
			priority, class := l.Split()
			out = append(out, ThrottleStatus{
				Service: service.name, Priority: priority, FinalAttempts: class == throttle.Final, Overdue: class == throttle.Overdue,
				Percent: share, Refused: service.refused[l],
			})
		}
		return true
	})
	slices.SortStableFunc(out, func(a, b ThrottleStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
