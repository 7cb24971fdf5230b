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

// initialTokens is the number of tokens in a new budget. Each retry or hedge uses one.
const initialTokens = 10

type routeKey struct {
	team model.TeamName
	name string
}

// budgets holds the budgets of the routes. All versions of a route share the same
// budgets. The lookup of a known version needs no lock.
type budgets struct {
	byRoute sync.Map // *model.Route -> *routeBudgets

	mu    sync.Mutex
	byKey map[routeKey]keyedBudgets
}

type keyedBudgets struct {
	newest  *model.Route
	budgets *routeBudgets
}

// deposit adds one request's share of a token to each budget of a route and returns
// the budgets.
func (b *budgets) deposit(r *model.Route, now time.Duration) *routeBudgets {
	found, ok := b.byRoute.Load(r)
	if !ok {
		found = b.register(r)
	}
	budgets := found.(*routeBudgets)
	budgets.retries.Deposit(r.Retry.BudgetPercent, now)
	budgets.hedges.Deposit(r.Hedge.BudgetPercent, now)
	return budgets
}

// register adds a version of a route in place of the previous one and returns its
// budgets.
func (b *budgets) register(r *model.Route) *routeBudgets {
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

// serviceBudget returns this node's share of the retries that the mesh allows for a
// service, or nil if retries are not limited over all nodes.
func (s *Service) serviceBudget(name model.ServiceName) *retry.ServiceBudget {
	if s.config.Limits.Window <= 0 || s.mesh == nil {
		return nil
	}
	found, ok := s.serviceBudgets.Load(name)
	if !ok {
		found, _ = s.serviceBudgets.LoadOrStore(name, retry.NewServiceBudget(s.config.Limits))
	}
	return found.(*retry.ServiceBudget)
}
