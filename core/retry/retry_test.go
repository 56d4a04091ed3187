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
		budget := retry.New(retry.Options{Share: 0.2, Reserve: 3})
		spent := 0
		for range 100 {
			budget.Earn()
			for budget.Spend() {
				spent++
			}
		}
		require.InDelta(t, 3+20, spent, 1)
	})
}

// Guards against a cell without successes that can never retry again.
func TestBudgetRefillsWithTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retry.New(retry.Options{Reserve: 1, PerSecond: 2})
		require.True(t, budget.Spend())
		require.False(t, budget.Spend())
		time.Sleep(500 * time.Millisecond)
		require.True(t, budget.Spend())
	})
}

// Guards against retries in step, and against delays without a bound.
func TestDelay(t *testing.T) {
	backoff := retry.Backoff{Base: 20 * time.Millisecond, Ceiling: time.Second, Random: rand.New(rand.NewPCG(1, 2))}
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

// Guards against calls that share a budget and lose or double what it pays for.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	const reserve, callers, tries = 100, 8, 200
	budget := retry.New(retry.Options{Share: 1, Reserve: reserve})
	var granted atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range tries {
				if budget.Spend() {
					granted.Add(1)
				}
			}
		})
	}
	group.Wait()
	require.EqualValues(t, reserve, granted.Load())
}

// Guards against a fleet whose hosts each spend the whole common reserve, and
// against one service's failures that use up another one's retries.
func TestBudgetsAreByServiceAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := retry.NewBudgets(0.2, 10)
		for range 10 {
			require.True(t, budgets.Spend("ledger"))
		}
		require.False(t, budgets.Spend("ledger"))
		require.True(t, budgets.Spend("engines"))
		budgets.Reserve(2)
		require.True(t, budgets.Spend("engines"))
		require.True(t, budgets.Spend("engines"))
		require.False(t, budgets.Spend("engines"))
		for range 100 {
			budgets.Earn("ledger")
		}
		require.InDelta(t, 2, budgets.Left(), 0.001)
	})
}
