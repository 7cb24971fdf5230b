package retry

import (
	"sync/atomic"
	"time"
)

// Budget is a token bucket that bounds extra attempts as a share of recent
// requests. It is safe for concurrent use.
type Budget struct {
	tokens   atomic.Int64 // in thousandths
	refilled atomic.Int64 // time of the last refill, in nanoseconds since a fixed start
}

const (
	// tokenUnit is one token, in the unit of Budget.tokens.
	tokenUnit = 1000
	// budgetCapacity is the level from which deposits are ignored. It bounds the
	// extra attempts that past requests allow at once.
	budgetCapacity = 20 * tokenUnit
	// budgetRefill is the least time between two deposits that add a whole token, so
	// that a rarely used route can retry.
	budgetRefill = time.Second
)

// NewBudget returns a budget with the given number of tokens.
func NewBudget(tokens int) *Budget {
	b := &Budget{}
	b.tokens.Store(int64(tokens) * tokenUnit)
	return b
}

// Deposit adds percent hundredths of a token for one request, and a whole token if
// none was added in the last budgetRefill. It adds nothing if percent is 0. now counts
// from any fixed start.
func (b *Budget) Deposit(percent int, now time.Duration) {
	amount := int64(percent) * tokenUnit / 100
	last := b.refilled.Load()
	if percent > 0 && now-time.Duration(last) >= budgetRefill && b.refilled.CompareAndSwap(last, int64(now)) {
		amount += tokenUnit
	}
	if b.tokens.Load() < budgetCapacity {
		b.tokens.Add(amount)
	}
}

// Withdraw takes one token and reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokenUnit) {
			return true
		}
	}
}
