package limit_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/fault"
	"primrosegw/core/limit"
)

// limiter returns a limiter with one workspace, "w".
func limiter(limits limit.Limit, share float64) *limit.Limiter {
	return limit.New(limit.Options{Limits: map[string]limit.Limit{"w": limits}, Share: share, BurstWindow: time.Second})
}

// admitted makes calls without releasing them, and returns the number admitted before
// the first refusal and its error.
func admitted(limiter *limit.Limiter, calls int) (int, error) {
	for count := range calls {
		if _, err := limiter.Acquire("w"); err != nil {
			return count, err
		}
	}
	return calls, nil
}

// TestLimits guards against a limit that is not enforced, is not scaled by the share,
// or is reported as a different limit.
func TestLimits(t *testing.T) {
	cases := []struct {
		name  string
		limit limit.Limit
		share float64
		want  int
		kind  limit.Kind
		field string
	}{
		{"request rate", limit.Limit{RequestsPerSecond: 20}, 1, 20, limit.RequestRate, "requests_per_second"},
		{"request rate divided", limit.Limit{RequestsPerSecond: 20}, 0.25, 5, limit.RequestRate, "requests_per_second"},
		{"request rate below one per host", limit.Limit{RequestsPerSecond: 2}, 0.1, 1, limit.RequestRate, "requests_per_second"},
		{"in flight", limit.Limit{InFlight: 8}, 1, 8, limit.InFlight, "in_flight"},
		{"in flight divided and rounded up", limit.Limit{InFlight: 9}, 0.125, 2, limit.InFlight, "in_flight"},
		{"none", limit.Limit{}, 1, 100, "", ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				count, err := admitted(limiter(test.limit, test.share), 100)
				require.Equal(t, test.want, count)
				require.Equal(t, test.kind, fault.KindOf[limit.Kind](err))
				if err != nil {
					require.ErrorContains(t, err, test.field)
					require.Positive(t, limit.RetryAfter(err))
				}
			})
		})
	}
}

// TestTokenDebit guards against a workspace that exceeds its token rate by requesting
// long answers: the next call must be delayed in proportion to the debt.
func TestTokenDebit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limiter(limit.Limit{TokensPerSecond: 100}, 0.5)
		permit, err := limiter.Acquire("w")
		require.NoError(t, err)
		permit.Debit(250)
		permit.Release()
		_, err = limiter.Acquire("w")
		require.True(t, fault.Is(err, limit.TokenRate), err)
		require.InDelta(t, 4.0, limit.RetryAfter(err).Seconds(), 0.01)
		time.Sleep(limit.RetryAfter(err))
		_, err = limiter.Acquire("w")
		require.NoError(t, err)
	})
}

// TestRelease guards against a call that is released twice and so frees the slot of
// another call.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limiter(limit.Limit{InFlight: 2}, 1)
		first, err := limiter.Acquire("w")
		require.NoError(t, err)
		_, err = limiter.Acquire("w")
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		first.Release()
		first.Release()
		count, err := admitted(limiter, 5)
		require.Equal(t, 1, count)
		require.Equal(t, 1500*time.Millisecond, limit.RetryAfter(err))
	})
}

// TestChanges guards against forgetting debts and calls in flight when the number of
// hosts or the configuration document changes.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limiter(limit.Limit{RequestsPerSecond: 10, InFlight: 10}, 1)
		count, _ := admitted(limiter, 6)
		require.Equal(t, 6, count)
		limiter.SetShare(0.5)
		_, err := admitted(limiter, 1)
		require.True(t, fault.Is(err, limit.InFlight), err)
		limiter.SetShare(1)
		count, _ = admitted(limiter, 10)
		require.Equal(t, 4, count)
		limiter.SetLimits(map[string]limit.Limit{"v": {InFlight: 1}})
		count, _ = admitted(limiter, 10)
		require.Equal(t, 10, count, "a workspace without limits is admitted")
	})
}

// TestSmallerShare guards against a burst at the old rate after this host's share has
// been reduced.
func TestSmallerShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limiter(limit.Limit{RequestsPerSecond: 20}, 1)
		limiter.SetShare(0.1)
		count, _ := admitted(limiter, 100)
		require.Equal(t, 2, count)
	})
}

// TestRate guards against admitting more calls than the rate allows over any period, and
// against a retry delay after which the call is refused again.
func TestRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(r, "rate")
		share := rapid.Float64Range(0.05, 1).Draw(r, "share")
		waits := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 40).Draw(r, "waits_ms")
		synctest.Test(t, func(*testing.T) {
			limiter := limiter(limit.Limit{RequestsPerSecond: rate}, share)
			began, total := time.Now(), 0
			for _, wait := range waits {
				time.Sleep(time.Duration(wait) * time.Millisecond)
				count, err := admitted(limiter, 1000)
				total += count
				allowed := rate*share*time.Since(began).Seconds() + max(1, rate*share)
				require.LessOrEqual(r, float64(total), allowed+1e-6)
				time.Sleep(limit.RetryAfter(err))
				count, _ = admitted(limiter, 1)
				require.Equal(r, 1, count)
				total++
			}
		})
	})
}

// TestConcurrent guards against data races and lost releases.
func TestConcurrent(t *testing.T) {
	limiter := limiter(limit.Limit{InFlight: 4}, 1)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 200 {
				if permit, err := limiter.Acquire("w"); err == nil {
					permit.Debit(1)
					permit.Release()
				}
			}
		})
	}
	group.Wait()
	count, _ := admitted(limiter, 10)
	require.Equal(t, 4, count)
}

// BenchmarkAcquire measures the Acquire, Debit and Release of one call.
func BenchmarkAcquire(b *testing.B) {
	limiter := limiter(limit.Limit{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, InFlight: 100}, 1)
	b.ReportAllocs()
	for b.Loop() {
		permit, err := limiter.Acquire("w")
		if err != nil {
			b.Fatal(err)
		}
		permit.Debit(100)
		permit.Release()
	}
}
