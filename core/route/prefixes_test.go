package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/route"
)

// store and remove return cache events; a prefix has 10 tokens for each unit of
// its hash.
func store(sequence, prefix uint64) route.CacheEvent {
	return route.CacheEvent{Sequence: sequence, Stored: true, Prefix: prefix, Tokens: int(prefix) * 10}
}

func remove(sequence, prefix uint64) route.CacheEvent {
	return route.CacheEvent{Sequence: sequence, Prefix: prefix}
}

// TestPrefixes guards against trust in cache events that are late or followed
// gaps, and against a match that is not the longest.
func TestPrefixes(t *testing.T) {
	cases := []struct {
		name   string
		events []route.CacheEvent
		want   int
	}{
		{"longest match", []route.CacheEvent{store(1, 1), store(2, 3), store(3, 2)}, 30},
		{"other prefixes do not match", []route.CacheEvent{store(1, 9)}, 0},
		{"removed", []route.CacheEvent{store(1, 1), store(2, 3), remove(3, 3)}, 10},
		{"half after a gap", []route.CacheEvent{store(1, 3), store(3, 9)}, 15},
		{"nothing after two gaps", []route.CacheEvent{store(1, 3), store(3, 9), store(5, 9)}, 0},
		{"stored again after a gap", []route.CacheEvent{store(1, 3), store(3, 9), store(4, 3)}, 30},
		{"a late event stores nothing", []route.CacheEvent{store(5, 9), store(4, 3)}, 0},
		{"a late event removes", []route.CacheEvent{store(1, 3), store(3, 9), remove(2, 3)}, 0},
		{"but not what was stored after it", []route.CacheEvent{store(1, 9), store(3, 3), remove(2, 3)}, 30},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			prefixes := route.NewPrefixes(0)
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

// TestForget guards against matches with a server whose cache was lost, and
// against a restarted server whose numbers begin again.
func TestForget(t *testing.T) {
	prefixes := route.NewPrefixes(0)
	prefixes.Apply("cell", []route.CacheEvent{store(100, 3)})
	prefixes.Forget("cell")
	require.Empty(t, prefixes.Match([]uint64{3}, nil))
	prefixes.Apply("cell", []route.CacheEvent{store(1, 3)})
	require.Equal(t, []route.Match{{Holder: "cell", Tokens: 30}}, prefixes.Match([]uint64{3}, nil))
}

// TestMatchKeeps guards against forgetting a prefix that requests still match.
func TestMatchKeeps(t *testing.T) {
	prefixes := route.NewPrefixes(2)
	prefixes.Apply("cell", []route.CacheEvent{store(1, 1), store(2, 2)})
	prefixes.Match([]uint64{1}, nil)
	prefixes.Apply("cell", []route.CacheEvent{store(3, 3)})
	require.NotEmpty(t, prefixes.Match([]uint64{1}, nil))
	require.Empty(t, prefixes.Match([]uint64{2}, nil))
}

// TestPrefixesBounded guards against an index that grows past its capacity or
// forgets what was used last.
func TestPrefixesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 8
		prefixes := route.NewPrefixes(capacity)
		var used []uint64
		sequences := map[string]uint64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			hash := rapid.Uint64Range(1, 30).Draw(t, "hash")
			holder := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "holder")
			sequences[holder]++
			prefixes.Apply(holder, []route.CacheEvent{store(sequences[holder], hash)})
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
