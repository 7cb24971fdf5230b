package chaos

import (
	"context"
	"fmt"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// evacuationBound is the time after the begin of an evacuation until which a request
	// may reach a server of the failure domain, as long as the platform does not fail.
	evacuationBound = 5 * time.Second
	// evacuationTime is the minimum length of an evacuation; it leaves some seconds after
	// the bound in which no request may run.
	evacuationTime = evacuationBound + 2*time.Second
)

// evacuation is a period in which no request may begin at the servers of a domain.
type evacuation struct {
	domain   string
	from, to time.Time
}

// evacuateDomain evacuates a random failure domain for some seconds. The platform does not
// fail until the bound, since nodes could not learn of the evacuation then. It does nothing
// if the platform fails or the domain is evacuated already.
func (i *injector) evacuateDomain(ctx context.Context) {
	domains := mesh.Egypt().Domains
	domain := domains[i.random.IntN(len(domains))]
	after := evacuationTime + i.randomDuration(failureTimeSpan)
	i.mu.Lock()
	impossible := i.platformFailing || i.evacuated[domain]
	if !impossible {
		i.platformFailing, i.evacuated[domain] = true, true
	}
	i.mu.Unlock()
	if impossible {
		return
	}
	key := model.EvacuationKey(model.FailureDomain(domain))
	if _, err := i.mesh.Publish(key, []byte("{}")); err != nil {
		i.logf("publishing failed: %v", err)
	}
	i.logf("evacuate %s", domain)
	bound := time.Now().Add(evacuationBound)
	i.repairs.Go(func() {
		_ = clock.Wait(ctx, clock.System{}, evacuationBound) // end the evacuation in any case
		i.mu.Lock()
		i.platformFailing = false
		i.mu.Unlock()
		_ = clock.Wait(ctx, clock.System{}, after-evacuationBound)
		end := time.Now()
		i.publisher.observer.Removed(key, i.mesh.Remove(key))
		i.logf("end of the evacuation of %s", domain)
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.evacuated, domain)
		i.evacuations = append(i.evacuations, evacuation{domain: domain, from: bound, to: end})
	})
}

// evacuationViolations describes the requests that began at servers of evacuated domains.
func (r *run) evacuationViolations() []string {
	var found []string
	for _, e := range r.evacuations {
		for _, n := range r.mesh.Nodes {
			if n.Domain != e.domain {
				continue
			}
			for _, execution := range r.mesh.Ledger.Began(n.ID, e.from, e.to) {
				found = append(found, fmt.Sprintf("a request began at %s at %s, %s after the bound", n.ID,
					execution.Began.UTC().Format("15:04:05.000"), execution.Began.Sub(e.from).Round(time.Millisecond)))
			}
		}
	}
	return found
}

// noneEvacuated reports whether every node knows that no domain is evacuated any more.
func noneEvacuated(reports mesh.Reports) bool {
	for _, report := range reports {
		for key := range report.Version.Running {
			if _, evacuation := key.Evacuation(); evacuation {
				return false
			}
		}
	}
	return true
}
