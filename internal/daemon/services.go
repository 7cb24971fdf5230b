package daemon

import (
	"math/rand/v2"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/warmup"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/backend"
	"github.com/galenalever/galenalever/internal/service/balancer"
	"github.com/galenalever/galenalever/internal/service/config"
	"github.com/galenalever/galenalever/internal/service/dependencies"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/forward"
	"github.com/galenalever/galenalever/internal/service/gate"
	"github.com/galenalever/galenalever/internal/service/ingress"
	"github.com/galenalever/galenalever/internal/service/membership"
	"github.com/galenalever/galenalever/internal/service/metrics"
	"github.com/galenalever/galenalever/internal/service/operator"
	"github.com/galenalever/galenalever/internal/service/quarantine"
	"github.com/galenalever/galenalever/internal/service/resources"
	"github.com/galenalever/galenalever/internal/service/routing"
	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/service/timeline"
	"github.com/galenalever/galenalever/internal/service/uplink"
	"github.com/galenalever/galenalever/internal/service/watchdog"
	"github.com/galenalever/galenalever/internal/settings"
)

// bitsPerMegabit converts the bandwidth setting from Mbit/s to bit/s.
const bitsPerMegabit = 1e6

// services returns the services of a node in start order. They stop in reverse
// order, so the services that accept requests are last: ingress (requests from
// callers) stops first, then the gate (requests from other nodes), and later the
// exchange, which sends the last announcements of the instance to its peers.
func services(d *settings.Daemon, env Environment, self model.Self, l *listeners) []kernel.Service {
	seed := uint64(self.Incarnation) ^ members.Hash(self.ID)
	bounds := warmup.Bounds{Excess: d.WarmupExcess, Slack: d.WarmupSlack}
	events := timeline.New(timeline.Config{Instance: self.ID, Clock: clock.System{}})
	return []kernel.Service{
		operator.New(operator.Config{Listener: l.operator, Self: self, Profiling: d.Profiling}),
		events,
		resources.New(resources.Config{Shares: shares(d, descriptorLimit())}),
		metrics.New(metrics.Config{Tags: map[string]string{"service": string(self.Service), "domain": string(self.Domain)}}),
		watchdog.New(watchdog.Config{MaxStale: d.MaxStale}),
		config.New(d.BootstrapFor),
		membership.New(membership.Config{Self: self, Unannounced: d.Direct}),
		source.New(source.Config{
			Self:       self,
			Platform:   env.Platform,
			Parse:      env.Parse,
			RandomSeed: seed,
			Pacing:     env.Pacing,
		}),
		exchange.New(exchange.Config{
			Self:         self,
			Listener:     l.control,
			Seeds:        d.Peers,
			BootstrapFor: d.BootstrapFor,
			RandomSeed:   seed,
			Direct:       d.Direct,
			Bandwidth:    d.Bandwidth * bitsPerMegabit,
			PollTimes:    env.PollTimes,
		}),
		uplink.New(uplink.Config{Bandwidth: d.Bandwidth * bitsPerMegabit, Self: self}),
		routing.New(),
		balancer.New(balancer.Config{Self: self, Policy: balance.Policy(d.Balancer), Warmup: bounds}),
		forward.New(forward.Config{
			Origin: self.Service, Headers: env.Headers, Limits: env.RetryLimits, Time: events.Clock(), Sender: uint64(rand.Uint32()),
			NoThrottle: d.Throttle == settings.ThrottleOff, HedgePercent: d.HedgePercent,
		}),
		backend.New(backend.Config{
			URL: d.Backend, HealthPath: d.HealthPath, HealthInterval: d.HealthInterval,
			Passive: d.PassiveHealth, Service: self.Service, Headers: env.Headers,
		}),
		dependencies.New(dependencies.Config{Unlimited: d.DependentWork == settings.DependentWorkRun}),
		quarantine.New(quarantine.Config{Self: self}),
		gate.New(gate.Config{
			Self:         self,
			Listener:     l.traffic,
			Timestamps:   events.Clock(),
			Headers:      env.Headers,
			RememberFor:  d.RememberFor,
			Bandwidth:    d.Bandwidth * bitsPerMegabit,
			ServeLeaving: d.DrainServe,
			KeepLate:     d.Admission == settings.AdmissionUnbounded,
			Warmup:       bounds,
		}),
		ingress.New(ingress.Config{Self: self, Listener: l.callers, Headers: env.Headers}),
	}
}
