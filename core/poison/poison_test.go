package poison_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/poison"
)

// Guards against a request that crashes engine after engine, and against a
// request that stays blamed for a crash that another one caused.
func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := poison.New(poison.Options{})
		const guilty, shared, other = 1, 2, 3
		for _, fingerprint := range []uint64{guilty, shared, other} {
			registry.Crash(fingerprint, 100)
			require.Equal(t, poison.Alone, registry.Verdict(fingerprint))
		}
		registry.Crash(guilty, 100)
		require.Equal(t, poison.Alone, registry.Verdict(guilty), "one engine counts once")
		registry.Clear(other)
		require.Equal(t, poison.Free, registry.Verdict(other))
		registry.Crash(guilty, 101)
		require.Equal(t, poison.Refuse, registry.Verdict(guilty))
		require.Equal(t, poison.Free, registry.Verdict(shared), "the cause is known")
		registry.Clear(guilty)
		require.Equal(t, poison.Refuse, registry.Verdict(guilty), "a late copy that completed proves nothing")
		time.Sleep(poison.Life)
		require.Equal(t, poison.Free, registry.Verdict(guilty))
		require.Equal(t, poison.Free, registry.Verdict(0))
	})
}

// Guards against copies of a suspect that run at the same time on several
// engines, and against a claim that outlives its holder.
func TestClaimIsExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := poison.New(poison.Options{})
		registry.Crash(1, 100)
		until := time.Now().Add(time.Minute)
		claim := func(holder string) poison.Grant {
			grant, err := registry.Claim(t.Context(), 1, holder, until)
			require.NoError(t, err)
			return grant
		}
		require.True(t, claim("a").Granted)
		require.True(t, claim("a").Granted)
		require.False(t, claim("b").Granted)
		require.NoError(t, registry.Release(t.Context(), 1, "b", poison.Result{}))
		require.False(t, claim("b").Granted, "only the holder can release")
		time.Sleep(time.Minute)
		until = time.Now().Add(time.Minute)
		require.True(t, claim("b").Granted)
		require.NoError(t, registry.Release(t.Context(), 1, "b", poison.Result{Crash: 101}))
		require.Equal(t, poison.Grant{Verdict: poison.Refuse}, claim("a"))
	})
}

// Guards against hosts that disagree about a suspect after the same news came
// in another order, twice, or through a third host.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		draw := rapid.Custom(func(t *rapid.T) poison.Record {
			crash := poison.Crash{
				ID: rapid.Uint64Range(1, 12).Draw(t, "id"), Cleared: rapid.Bool().Draw(t, "cleared"),
				At: now.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Minute),
			}
			return poison.Record{Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"), Crashes: []poison.Crash{crash}}
		})
		news := rapid.SliceOf(draw).Draw(t, "news")
		first, second := poison.New(poison.Options{}), poison.New(poison.Options{})
		first.Merge(news)
		second.Merge(rapid.Permutation(news).Draw(t, "order"))
		require.Equal(t, first.Records(), second.Records())
		require.False(t, first.Merge(second.Records()), "merging again changes nothing")
		third := poison.New(poison.Options{})
		third.Merge(first.Records())
		require.Equal(t, first.Records(), third.Records())
	})
}

// Guards against memory that grows with the number of fingerprints, and against
// a refused request that is forgotten for a mere suspect.
func TestRegistryIsBounded(t *testing.T) {
	registry := poison.New(poison.Options{Capacity: 8})
	registry.Crash(1, 1)
	registry.Crash(1, 2)
	for fingerprint := range uint64(1000) {
		registry.Crash(fingerprint+2, fingerprint)
	}
	require.Len(t, registry.Records(), 8)
	require.Equal(t, poison.Refuse, registry.Verdict(1))
}
