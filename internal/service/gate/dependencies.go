package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/health"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/decision/responsematch"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
	"github.com/galenalever/galenalever/internal/timeline"
)

// configuration is the part of the config service that the gate uses.
type configuration interface {
	Configuration() *kernel.Snapshot[*model.Configuration]
}

// server is the part of the backend service that the gate uses.
type server interface {
	Available() bool
	State() *kernel.Snapshot[health.State]
	Do(
		r *http.Request, notAfter time.Time, idempotent bool, accept func(responsematch.Exchange, *http.Response) bool,
	) (*http.Response, error)
	Crashed(ctx context.Context) bool
	CheckNow(ctx context.Context)
}

// suspects is the part of the quarantine service that the gate uses.
type suspects interface {
	Prepared() bool
	Decide(f quarantine.Fingerprint) quarantine.Decision
	Report(ctx context.Context, fingerprints []quarantine.Fingerprint)
	ReportAlone(ctx context.Context, f quarantine.Fingerprint, abandoned []quarantine.Fingerprint)
	Completed(f quarantine.Fingerprint, started time.Time)
	Suspects() *kernel.Snapshot[quarantine.Table]
}

// members is the part of the membership service that the gate uses.
type members interface {
	ServiceMembers(name model.ServiceName) []model.Member
}

// watchdog reports whether the node has synchronised since its start and since the
// last pause of the process.
type watchdog interface{ Fresh() bool }

// recorder is the part of the timeline service that the gate uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// metrics is the part of the metrics service that the gate uses.
type metrics interface{ Scope() tally.Scope }

// statusPage is the part of the operator service that the gate uses.
type statusPage interface {
	AddStatus(section string, f func() any)
	AddReadiness(name string, f func() error)
}

// accounts is the part of the resources service that the gate uses.
type accounts interface {
	Account(service string) *occupancy.Account
}

// uplink is the part of the uplink service that the gate uses.
type uplink interface {
	// Leaves reports whether what is sent to the address uses the node's link.
	Leaves(address string) bool
	// Pace waits until the link has room for the next bytes of a body, at most until the
	// deadline.
	Pace(ctx context.Context, bytes, priority int, deadline time.Time)
}

// dependencies are the services that the gate uses.
type dependencies struct {
	config     configuration
	server     server
	suspects   suspects
	members    members
	watchdog   watchdog   // nil if the node has none
	statusPage statusPage // nil if the node has none
	timeline   recorder
	metrics    metrics
	accounts   accounts    // nil if the node has none
	calls      callLimiter // nil if the node has none
	uplink     uplink      // nil if the node has none
}

func findDependencies(c *kernel.Context) (dependencies, error) {
	var d dependencies
	var err error
	if d.config, err = kernel.Find[configuration](c, control.Config); err != nil {
		return d, err
	}
	if d.server, err = kernel.Find[server](c, control.Backend); err != nil {
		return d, err
	}
	if d.suspects, err = kernel.Find[suspects](c, control.Quarantine); err != nil {
		return d, err
	}
	if d.members, err = kernel.Find[members](c, control.Membership); err != nil {
		return d, err
	}
	if d.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
		return d, err
	}
	if d.metrics, err = kernel.Find[metrics](c, control.Metrics); err != nil {
		return d, err
	}
	d.accounts, _ = kernel.Find[accounts](c, control.Resources)
	d.watchdog, _ = kernel.Find[watchdog](c, control.Watchdog)
	d.calls, _ = kernel.Find[callLimiter](c, control.Dependencies)
	d.uplink, _ = kernel.Find[uplink](c, control.Uplink)
	d.statusPage, _ = kernel.Find[statusPage](c, control.Operator)
	return d, nil
}

// fresh reports whether the node's knowledge of other nodes is current.
func (d dependencies) fresh() bool { return d.watchdog == nil || d.watchdog.Fresh() }
