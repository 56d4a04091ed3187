package length_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/length"
)

// TestPrior guards against estimates that ignore the prior before any answer was
// observed.
func TestPrior(t *testing.T) {
	estimator := length.New(length.Options{Priors: map[string]length.Prior{"annotation": {Median: 3000, P95: 9000}}})
	require.InEpsilon(t, 150, estimator.Quantile("question", 0.5, 0), 0.05)
	require.InEpsilon(t, 1500, estimator.Quantile("question", 0.95, 0), 0.05)
	require.InEpsilon(t, 3000, estimator.Quantile("annotation", 0.5, 0), 0.05)
	require.InEpsilon(t, 9000, estimator.Quantile("annotation", 0.95, 0), 0.05)
}

// TestUnseenClass guards against estimating an unseen class of short answers at the
// prior's 150 tokens although the answers of the other classes are short: the class would
// then get its minimum share of the tokens too late.
func TestUnseenClass(t *testing.T) {
	estimator := length.New(length.Options{Priors: map[string]length.Prior{"annotation": {Median: 3000, P95: 9000}}})
	for range 20 {
		estimator.Observe("question", 30)
	}
	require.InDelta(t, 30, estimator.Quantile("complaint", 0.5, 0), 6)
	require.InEpsilon(t, 3000, estimator.Quantile("annotation", 0.5, 0), 0.05)
}

// TestFirstAnswer guards against a prior that outweighs the first answer of a
// class, whether it is shorter or longer than those of the other classes.
func TestFirstAnswer(t *testing.T) {
	for _, tokens := range []int{30, 600} {
		estimator := length.New(length.Options{})
		for range 20 {
			estimator.Observe("question", 100)
		}
		estimator.Observe("c", tokens)
		require.InEpsilon(t, tokens, estimator.Quantile("c", 0.5, 0), 0.2)
	}
}

// TestQuantile guards against quantiles that are off by more than a bucket. It compares
// them with those of a sorted sample, also for answers that are partly generated.
func TestQuantile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	estimator := length.New(length.Options{Window: 1e6, PriorWeight: 0.01})
	var sample []float64
	for range 20_000 {
		tokens := math.Ceil(math.Exp(5 + random.NormFloat64()))
		sample = append(sample, tokens)
		estimator.Observe("c", int(tokens))
	}
	slices.Sort(sample)
	for _, served := range []float64{0, 50, 200, 700} {
		first, _ := slices.BinarySearch(sample, served+1)
		longer := sample[first:]
		for _, q := range []float64{0.1, 0.5, 0.9, 0.99} {
			want := longer[int(q*float64(len(longer)))] - served
			got := estimator.Quantile("c", q, int(served))
			require.InDelta(t, want, got, 0.04*(want+served), "served %g, quantile %g", served, q)
		}
	}
}

// TestDecay guards against an estimate that does not follow a change in answer length.
func TestDecay(t *testing.T) {
	estimator := length.New(length.Options{Window: 100})
	for range 10_000 {
		estimator.Observe("c", 50)
	}
	require.InDelta(t, 50, estimator.Quantile("c", 0.5, 0), 10)
	for range 300 {
		estimator.Observe("c", 4000)
	}
	require.InDelta(t, 4000, estimator.Quantile("c", 0.5, 0), 700)
}

// TestLongRunning guards against an answer that is longer than all others and is
// estimated to be about to end.
func TestLongRunning(t *testing.T) {
	estimator := length.New(length.Options{})
	for range 50_000 {
		estimator.Observe("c", 20)
	}
	require.Greater(t, estimator.Quantile("c", 0.5, 1000), 50.0)
	require.Greater(t, estimator.Quantile("c", 0.5, 10_000_000), 1e6)
}

// TestForgottenPrior guards against dividing by a weight that has decayed to zero after
// many answers.
func TestForgottenPrior(t *testing.T) {
	estimator := length.New(length.Options{Window: 2})
	for range 10_000 {
		estimator.Observe("c", 100)
	}
	require.InDelta(t, 100, estimator.Quantile("c", 0, 0), 100)
	require.InDelta(t, 100, estimator.Quantile("c", 0.5, 0), 20)
	require.Greater(t, estimator.Quantile("c", 0.5, 200), 50.0)
}

// TestInvariants guards against quantiles that are negative, not finite, or decrease
// with q.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := length.New(length.Options{Window: rapid.Float64Range(2, 50).Draw(t, "window")})
		for _, tokens := range rapid.SliceOf(rapid.IntRange(0, 1_000_000)).Draw(t, "answers") {
			estimator.Observe("c", tokens)
		}
		served := rapid.IntRange(0, 1_000_000).Draw(t, "served")
		previous := 0.0
		for _, q := range []float64{0, 0.1, 0.5, 0.9, 0.99, 1} {
			remaining := estimator.Quantile("c", q, served)
			require.False(t, math.IsNaN(remaining) || math.IsInf(remaining, 0))
			require.GreaterOrEqual(t, remaining, previous-1e-6)
			previous = remaining
		}
	})
}

// BenchmarkQuantile measures one estimate for an answer in progress.
func BenchmarkQuantile(b *testing.B) {
	estimator := length.New(length.Options{})
	for index := range 5000 {
		estimator.Observe("c", index%700)
	}
	b.ReportAllocs()
	for b.Loop() {
		estimator.Quantile("c", 0.9, 120)
	}
}

// BenchmarkObserve measures recording one answer.
func BenchmarkObserve(b *testing.B) {
	estimator := length.New(length.Options{})
	b.ReportAllocs()
	for b.Loop() {
		estimator.Observe("c", 300)
	}
}
