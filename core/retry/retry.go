// Package retry bounds the extra load that retries and hedges put on a cell,
// and spaces retries out.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of the budgets.
const (
	// DefaultRetryShare is the number of retries that one success pays for.
	DefaultRetryShare = 0.2
	// DefaultHedgeShare is the number of hedges that one call pays for.
	DefaultHedgeShare = 0.05
	// DefaultReserve is the number of retries kept for a burst of failures: the
	// loss of an engine breaks all calls of its batch at once.
	DefaultReserve = 64
	// DefaultPerSecond is the number of retries per second that need no
	// success, so that a cell with little traffic can still retry.
	DefaultPerSecond = 2
	// DefaultBase and DefaultCeiling bound the delay before a retry.
	DefaultBase    = 20 * time.Millisecond
	DefaultCeiling = 2 * time.Second
)

// Options configures a budget.
type Options struct {
	// Share is what each Earn adds.
	Share float64
	// Reserve is the largest balance. The budget starts with it.
	Reserve float64
	// PerSecond is what time adds.
	PerSecond float64
}

// Budget pays for retries or hedges out of a share of the ordinary calls. It is
// safe for concurrent use: the calls of plain services share one without a lock
// of their own.
type Budget struct {
	options Options
	mutex   sync.Mutex
	balance float64
	updated time.Time
}

// New returns a budget with a full reserve.
func New(options Options) *Budget {
	return &Budget{options: options, balance: options.Reserve, updated: time.Now()}
}

// Earn adds the share of one ordinary call.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budget.options.Reserve, budget.balance+budget.options.Share)
}

// Spend takes one retry out of the budget, and reports false when the budget
// does not cover it.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue(time.Now())
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}

// Left returns the number of retries that the budget covers.
func (budget *Budget) Left() float64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue(time.Now())
	return budget.balance
}

// setReserve changes the largest balance. What is above it is lost.
func (budget *Budget) setReserve(reserve float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.options.Reserve = reserve
	budget.balance = min(budget.balance, reserve)
}

// accrue adds what time has earned. The mutex is held.
func (budget *Budget) accrue(now time.Time) {
	earned := now.Sub(budget.updated).Seconds() * budget.options.PerSecond
	budget.balance = min(budget.options.Reserve, budget.balance+earned)
	budget.updated = now
}

// Backoff spaces the retries of one call out.
type Backoff struct {
	// Base is the longest delay before the first retry.
	Base time.Duration
	// Ceiling is the longest delay of all.
	Ceiling time.Duration
	// Random draws the jitter.
	Random *rand.Rand
}

// Delay returns the time to wait before a retry, 1 being the first. It lies
// between half and all of the exponential delay, so that calls that failed
// together do not come back together.
func (backoff Backoff) Delay(attempt int) time.Duration {
	delay := backoff.Base
	for step := 1; step < attempt && delay < backoff.Ceiling; step++ {
		delay *= 2
	}
	delay = min(delay, backoff.Ceiling)
	return delay/2 + time.Duration(backoff.Random.Int64N(int64(delay/2)+1))
}
