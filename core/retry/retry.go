// Package retry limits the extra load that retries and hedged calls put on a cell, and
// computes the backoff between retries.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of budgets and backoff.
const (
	// DefaultRetryShare is the number of retries that one successful call deposits.
	DefaultRetryShare = 0.2
	// DefaultHedgeShare is the number of hedged calls that one call deposits.
	DefaultHedgeShare = 0.05
	// DefaultMaxBalance is the number of retries kept for a burst of failures: the
	// loss of an engine breaks all calls of its batch at once.
	DefaultMaxBalance = 64
	// DefaultRefillPerSecond is the number of retries per second that do not depend on
	// successful calls, so that a cell with little traffic can still retry.
	DefaultRefillPerSecond = 2
	// DefaultBaseDelay and DefaultMaxDelay bound the delay before a retry.
	DefaultBaseDelay = 20 * time.Millisecond
	DefaultMaxDelay  = 2 * time.Second
)

// Options configures a budget.
type Options struct {
	// Share is the number of retries that each Deposit adds.
	Share float64
	// MaxBalance is the maximum number of retries, which is also the initial balance.
	MaxBalance float64
	// RefillPerSecond is the number of retries added per second.
	RefillPerSecond float64
}

// Budget limits retries or hedged calls to a share of the ordinary calls. It is safe
// for concurrent use, because the calls of a plain service share a budget without a lock
// of their own.
type Budget struct {
	options    Options
	mutex      sync.Mutex
	balance    float64
	lastRefill time.Time
}

// New returns a budget with the maximum balance.
func New(options Options) *Budget {
	return &Budget{options: options, balance: options.MaxBalance, lastRefill: time.Now()}
}

// Deposit adds the share of one ordinary call.
func (budget *Budget) Deposit() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budget.options.MaxBalance, budget.balance+budget.options.Share)
}

// TryWithdraw takes one retry out of the budget. It returns false if the balance is too
// low.
func (budget *Budget) TryWithdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(time.Now())
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}

// Balance returns the number of retries left in the budget.
func (budget *Budget) Balance() float64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(time.Now())
	return budget.balance
}

// setMaxBalance changes the maximum balance and truncates a larger balance to it.
func (budget *Budget) setMaxBalance(maxBalance float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.options.MaxBalance = maxBalance
	budget.balance = min(budget.balance, maxBalance)
}

// refill adds the retries for the time since the last refill. The caller must hold the
// mutex.
func (budget *Budget) refill(now time.Time) {
	refilled := now.Sub(budget.lastRefill).Seconds() * budget.options.RefillPerSecond
	budget.balance = min(budget.options.MaxBalance, budget.balance+refilled)
	budget.lastRefill = now
}

// Backoff computes the delays between the retries of one call.
type Backoff struct {
	// BaseDelay is the maximum delay before the first retry.
	BaseDelay time.Duration
	// MaxDelay is the upper bound of all delays.
	MaxDelay time.Duration
	// Random is the source of the jitter.
	Random *rand.Rand
}

// Delay returns the time to wait before a retry; attempt 1 is the first retry. The
// delay is drawn from the upper half of the exponential backoff, so that calls that
// failed together do not retry together.
func (backoff Backoff) Delay(attempt int) time.Duration {
	delay := backoff.BaseDelay
	for step := 1; step < attempt && delay < backoff.MaxDelay; step++ {
		delay *= 2
	}
	delay = min(delay, backoff.MaxDelay)
	return delay/2 + time.Duration(backoff.Random.Int64N(int64(delay/2)+1))
}
