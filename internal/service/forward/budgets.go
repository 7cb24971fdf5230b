package forward

import (
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/model"
)

// routeBudgets bounds the extra attempts of one route.
type routeBudgets struct {
	retries, hedges *retry.Budget
}

// initialTokens is what a new budget holds.
const initialTokens = 10

type routeKey struct {
	team model.TeamName
	name string
}

// budgets finds the budgets of a route. They stay the same over versions of the
// route. Requests of a known version take no lock.
type budgets struct {
	byRoute sync.Map // *model.Route -> *routeBudgets

	mu    sync.Mutex
	byKey map[routeKey]keyedBudgets
}

type keyedBudgets struct {
	newest  *model.Route
	budgets *routeBudgets
}

// deposit returns the budgets of a route after adding one request's share.
func (b *budgets) deposit(r *model.Route, now time.Duration) *routeBudgets {
	found, ok := b.byRoute.Load(r)
	if !ok {
		found = b.add(r)
	}
	budgets := found.(*routeBudgets)
	budgets.retries.Deposit(r.Retry.BudgetPercent, now)
	budgets.hedges.Deposit(r.Hedge.BudgetPercent, now)
	return budgets
}

// add makes a version of a route known in place of the one before.
func (b *budgets) add(r *model.Route) *routeBudgets {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byKey == nil {
		b.byKey = make(map[routeKey]keyedBudgets)
	}
	key := routeKey{team: r.Team, name: r.Name}
	known, ok := b.byKey[key]
	if !ok {
		known.budgets = &routeBudgets{
			retries: retry.NewBudget(initialTokens),
			hedges:  retry.NewBudget(initialTokens),
		}
	}
	b.byRoute.Delete(known.newest)
	known.newest = r
	b.byKey[key] = known
	b.byRoute.Store(r, known.budgets)
	return known.budgets
}

// share returns this node's part of the mesh's limits for a service, or nil if
// there are no such limits.
func (s *Service) share(name model.ServiceName) *retry.ServiceBudget {
	if s.config.Limits.Window <= 0 || s.mesh == nil {
		return nil
	}
	found, ok := s.shares.Load(name)
	if !ok {
		found, _ = s.shares.LoadOrStore(name, retry.NewServiceBudget(s.config.Limits))
	}
	return found.(*retry.ServiceBudget)
}
