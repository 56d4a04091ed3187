package retry_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/retry"
)

// Guards against retries that multiply the load of a failing cell.
func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retry.New(retry.Options{Share: 0.2, MaxBalance: 3})
		spent := 0
		for range 100 {
			budget.Deposit()
			for budget.TryWithdraw() {
				spent++
			}
		}
		require.InDelta(t, 3+20, spent, 1)
	})
}

// Guards against a cell without successful calls that can never retry again.
func TestBudgetRefillsWithTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retry.New(retry.Options{MaxBalance: 1, RefillPerSecond: 2})
		require.True(t, budget.TryWithdraw())
		require.False(t, budget.TryWithdraw())
		time.Sleep(500 * time.Millisecond)
		require.True(t, budget.TryWithdraw())
	})
}

// Guards against synchronized retries and against unbounded delays.
func TestDelay(t *testing.T) {
	backoff := retry.Backoff{BaseDelay: 20 * time.Millisecond, MaxDelay: time.Second, Random: rand.New(rand.NewPCG(1, 2))}
	for attempt, longest := range map[int]time.Duration{
		1: 20 * time.Millisecond, 2: 40 * time.Millisecond, 5: 320 * time.Millisecond, 50: time.Second,
	} {
		seen := make(map[time.Duration]bool)
		for range 50 {
			delay := backoff.Delay(attempt)
			require.GreaterOrEqual(t, delay, longest/2)
			require.LessOrEqual(t, delay, longest)
			seen[delay] = true
		}
		require.Greater(t, len(seen), 10)
	}
}

// Guards against concurrent calls that withdraw more or fewer retries from a shared
// budget than it holds.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	const maxBalance, callers, tries = 100, 8, 200
	budget := retry.New(retry.Options{Share: 1, MaxBalance: maxBalance})
	var granted atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range tries {
				if budget.TryWithdraw() {
					granted.Add(1)
				}
			}
		})
	}
	group.Wait()
	require.EqualValues(t, maxBalance, granted.Load())
}

// Guards against hosts that each withdraw the maximum balance of the whole fleet, and
// against failures of one service that use up the retries of another.
func TestBudgetsAreByServiceAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := retry.NewBudgets(0.2, 10)
		for range 10 {
			require.True(t, budgets.TryWithdraw("ledger"))
		}
		require.False(t, budgets.TryWithdraw("ledger"))
		require.True(t, budgets.TryWithdraw("engines"))
		budgets.SetMaxBalance(2)
		require.True(t, budgets.TryWithdraw("engines"))
		require.True(t, budgets.TryWithdraw("engines"))
		require.False(t, budgets.TryWithdraw("engines"))
		for range 100 {
			budgets.Deposit("ledger")
		}
		require.InDelta(t, 2, budgets.Balance(), 0.001)
	})
}
