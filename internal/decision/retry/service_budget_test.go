package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/retry"
)

// TestServiceBudgetsKeepTheLimits checks for any load on any number of nodes that
// the retries of all of them, in any window, stay within ratio and slack.
func TestServiceBudgetsKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retry.Limits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		budgets := make([]*retry.ServiceBudget, nodes)
		for i := range budgets {
			budgets[i] = retry.NewServiceBudget(limits)
		}
		const step = 100 * time.Millisecond
		steps := int(limits.Window / step)
		var requests, retries []int
		for i := range 3 * steps {
			now := time.Duration(i) * step
			sent, again := 0, 0
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
				budget.Deposit(now, nodes)
				sent++
				if budget.Withdraw(now, nodes, rapid.Bool().Draw(t, "final attempt")) {
					again++
				}
			}
			requests, retries = append(requests, sent), append(retries, again)
		}
		for begin := range len(requests) - steps {
			sent, again := 0, 0
			for i := begin; i < begin+steps; i++ {
				sent, again = sent+requests[i], again+retries[i]
			}
			if allowed := limits.Ratio*float64(sent) + limits.Slack; float64(again) > allowed {
				t.Fatalf("%d retries of %d requests in a window, %.0f allowed", again, sent, allowed)
			}
		}
	})
}
