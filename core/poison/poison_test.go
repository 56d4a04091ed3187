package poison_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/poison"
)

// Guards against a request that crashes one engine after another, and against a
// request that remains a suspect for a crash that another request caused.
func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := poison.New(poison.Options{})
		const guilty, shared, other = 1, 2, 3
		for _, fingerprint := range []uint64{guilty, shared, other} {
			registry.Crash(fingerprint, 100)
			require.Equal(t, poison.Exclusive, registry.Verdict(fingerprint))
		}
		registry.Crash(guilty, 100)
		require.Equal(t, poison.Exclusive, registry.Verdict(guilty), "each crash counts once")
		registry.Clear(other)
		require.Equal(t, poison.Shared, registry.Verdict(other))
		registry.Crash(guilty, 101)
		require.Equal(t, poison.Refused, registry.Verdict(guilty))
		require.Equal(t, poison.Shared, registry.Verdict(shared), "another request is known to be the cause")
		registry.Clear(guilty)
		require.Equal(t, poison.Refused, registry.Verdict(guilty), "a request at the crash limit is not cleared by a copy that completes")
		time.Sleep(poison.CrashTTL)
		require.Equal(t, poison.Shared, registry.Verdict(guilty))
		require.Equal(t, poison.Shared, registry.Verdict(0))
	})
}

// Guards against copies of a suspect that run on several engines at the same time,
// and against a claim that never expires although its holder is lost.
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
		require.NoError(t, registry.Release(t.Context(), 1, "b", poison.RunResult{}))
		require.False(t, claim("b").Granted, "only the holder can release a claim")
		time.Sleep(time.Minute)
		until = time.Now().Add(time.Minute)
		require.True(t, claim("b").Granted)
		require.NoError(t, registry.Release(t.Context(), 1, "b", poison.RunResult{Crash: 101}))
		require.Equal(t, poison.Grant{Verdict: poison.Refused}, claim("a"))
	})
}

// Guards against hosts that hold different records of a suspect after they received
// the same updates in a different order, twice, or through a third host.
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
		updates := rapid.SliceOf(draw).Draw(t, "updates")
		first, second := poison.New(poison.Options{}), poison.New(poison.Options{})
		first.Merge(updates)
		second.Merge(rapid.Permutation(updates).Draw(t, "order"))
		require.Equal(t, first.Records(), second.Records())
		require.False(t, first.Merge(second.Records()), "merging again changes nothing")
		third := poison.New(poison.Options{})
		third.Merge(first.Records())
		require.Equal(t, first.Records(), third.Records())
	})
}

// Guards against memory use that grows with the number of fingerprints, and against
// a refused request that is evicted in favour of a suspect with fewer crashes.
func TestRegistryIsBounded(t *testing.T) {
	registry := poison.New(poison.Options{Capacity: 8})
	registry.Crash(1, 1)
	registry.Crash(1, 2)
	for fingerprint := range uint64(1000) {
		registry.Crash(fingerprint+2, fingerprint)
	}
	require.Len(t, registry.Records(), 8)
	require.Equal(t, poison.Refused, registry.Verdict(1))
}
