package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/route"
)

// storeEvent and removeEvent return cache events. The length of a prefix in tokens
// is 10 times its hash.
func storeEvent(sequence, prefix uint64) route.CacheEvent {
	return route.CacheEvent{Sequence: sequence, Stored: true, Prefix: prefix, Tokens: int(prefix) * 10}
}

func removeEvent(sequence, prefix uint64) route.CacheEvent {
	return route.CacheEvent{Sequence: sequence, Prefix: prefix}
}

// TestPrefixIndex guards against full credit for copies whose events were late or
// preceded a gap, and against a match that is not the longest.
func TestPrefixIndex(t *testing.T) {
	cases := []struct {
		name   string
		events []route.CacheEvent
		want   int
	}{
		{"longest match", []route.CacheEvent{storeEvent(1, 1), storeEvent(2, 3), storeEvent(3, 2)}, 30},
		{"other prefixes do not match", []route.CacheEvent{storeEvent(1, 9)}, 0},
		{"removed", []route.CacheEvent{storeEvent(1, 1), storeEvent(2, 3), removeEvent(3, 3)}, 10},
		{"half after a gap", []route.CacheEvent{storeEvent(1, 3), storeEvent(3, 9)}, 15},
		{"nothing after two gaps", []route.CacheEvent{storeEvent(1, 3), storeEvent(3, 9), storeEvent(5, 9)}, 0},
		{"stored again after a gap", []route.CacheEvent{storeEvent(1, 3), storeEvent(3, 9), storeEvent(4, 3)}, 30},
		{"a late event stores nothing", []route.CacheEvent{storeEvent(5, 9), storeEvent(4, 3)}, 0},
		{"a late event removes", []route.CacheEvent{storeEvent(1, 3), storeEvent(3, 9), removeEvent(2, 3)}, 0},
		{"a late event does not remove a copy stored after it", []route.CacheEvent{storeEvent(1, 9), storeEvent(3, 3), removeEvent(2, 3)}, 30},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			prefixes := route.NewPrefixIndex(0)
			for _, event := range test.events {
				prefixes.Apply("cell", []route.CacheEvent{event})
			}
			tokens := 0
			for _, match := range prefixes.Match([]uint64{1, 2, 3}, nil) {
				tokens = match.Tokens
			}
			require.Equal(t, test.want, tokens)
		})
	}
}

// TestForget guards against matches with a holder whose cache was lost, and
// against ignored events of a restarted holder whose sequence numbers start again.
func TestForget(t *testing.T) {
	prefixes := route.NewPrefixIndex(0)
	prefixes.Apply("cell", []route.CacheEvent{storeEvent(100, 3)})
	prefixes.Forget("cell")
	require.Empty(t, prefixes.Match([]uint64{3}, nil))
	prefixes.Apply("cell", []route.CacheEvent{storeEvent(1, 3)})
	require.Equal(t, []route.Match{{Holder: "cell", Tokens: 30}}, prefixes.Match([]uint64{3}, nil))
}

// TestMatchCountsAsUse guards against evicting a prefix that requests still match.
func TestMatchCountsAsUse(t *testing.T) {
	prefixes := route.NewPrefixIndex(2)
	prefixes.Apply("cell", []route.CacheEvent{storeEvent(1, 1), storeEvent(2, 2)})
	prefixes.Match([]uint64{1}, nil)
	prefixes.Apply("cell", []route.CacheEvent{storeEvent(3, 3)})
	require.NotEmpty(t, prefixes.Match([]uint64{1}, nil))
	require.Empty(t, prefixes.Match([]uint64{2}, nil))
}

// TestPrefixIndexCapacity guards against an index that exceeds its capacity or
// evicts recently used prefixes.
func TestPrefixIndexCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 8
		prefixes := route.NewPrefixIndex(capacity)
		var used []uint64
		sequences := map[string]uint64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			hash := rapid.Uint64Range(1, 30).Draw(t, "hash")
			holder := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "holder")
			sequences[holder]++
			prefixes.Apply(holder, []route.CacheEvent{storeEvent(sequences[holder], hash)})
			used = append(used, hash)
			require.LessOrEqual(t, prefixes.Len(), capacity)
		}
		recent := map[uint64]bool{}
		for index := len(used) - 1; index >= 0 && len(recent) < capacity; index-- {
			recent[used[index]] = true
		}
		require.Equal(t, len(recent), prefixes.Len())
		for hash := range recent {
			holders := len(prefixes.Match([]uint64{hash}, nil))
			require.True(t, holders >= 1 && holders <= 4, "%d holders", holders)
		}
	})
}
