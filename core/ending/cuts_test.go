package ending_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
)

// Guards against cuts that count for responses of other paths, or for no responses at all.
func TestCutCountsForItsServiceAndItsFailureDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	cuts := ending.NewCuts()
	require.False(t, cuts.Known("a", "x", false, now))
	require.True(t, cuts.Record(ending.Place{Service: "a", FailureDomain: "x"}, now))
	require.True(t, cuts.Known("a", "x", true, now))
	require.True(t, cuts.Known("a", "y", true, now), "another failure domain of the service")
	require.True(t, cuts.Known("b", "x", false, now), "a service that never frames shows no cuts of its own")
	require.False(t, cuts.Known("b", "x", true, now), "a service that frames would show them")
	require.False(t, cuts.Known("b", "y", false, now))
}

// Guards against a cut that counts for ever, and against one that is forgotten while cuts go on.
func TestCutsCountForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cuts := ending.NewCuts()
		cuts.Record(ending.Place{Service: "a", FailureDomain: "x"}, time.Now())
		for range 100 {
			time.Sleep(ending.CutMemory / 2)
			require.True(t, cuts.Known("a", "x", true, time.Now()))
			cuts.Record(ending.Place{Service: "a", FailureDomain: "x"}, time.Now())
		}
		time.Sleep(ending.CutMemory - time.Millisecond)
		require.True(t, cuts.Known("a", "x", true, time.Now()))
		time.Sleep(time.Millisecond)
		require.False(t, cuts.Known("a", "x", true, time.Now()))
		require.Empty(t, cuts.TakeDue(time.Now()))
		require.Empty(t, cuts.Newest(time.Now()))
	})
}

// Guards against hosts that do not learn of a cut because a datagram was lost, and against a message
// for each cut.
func TestCutIsToldAtOnceAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cuts, other := ending.NewCuts(), ending.NewCuts()
		require.True(t, cuts.Record(ending.Place{Service: "a", FailureDomain: "x"}, time.Now()))
		told := 0
		for range 400 {
			for _, message := range cuts.TakeDue(time.Now()) {
				told++
				require.Equal(t, "a", message[0].Service)
				other.Apply(message, time.Now())
			}
			require.False(t, cuts.Record(ending.Place{Service: "a", FailureDomain: "x"}, time.Now()), "the other hosts know of cuts there")
			time.Sleep(50 * time.Millisecond)
		}
		require.Equal(t, 3+3, told, "three times at once, then every 5 s for 20 s")
		require.True(t, other.Known("a", "x", true, time.Now()))
		require.Empty(t, other.TakeDue(time.Now()), "who was told tells no others")
		time.Sleep(10 * time.Second)
		require.True(t, cuts.Record(ending.Place{Service: "a", FailureDomain: "x"}, time.Now()), "the others' memory is refreshed")
	})
}

// Guards against a merge that makes a cut older, newer than it was, or news twice.
func TestToldCutsAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cuts := ending.NewCuts()
		require.Equal(t, 1, cuts.Apply([]ending.CutReport{{Service: "a", FailureDomain: "x", AgeMs: 1000}}, time.Now()).Added)
		require.Equal(t, 0, cuts.Apply([]ending.CutReport{{Service: "a", FailureDomain: "x", AgeMs: 5000}, {Service: "a", FailureDomain: "x", AgeMs: 500}}, time.Now()).Added)
		require.Equal(t, []ending.CutReport{{Service: "a", FailureDomain: "x", AgeMs: 500}}, cuts.Newest(time.Now()))
		require.Equal(t, 0, cuts.Apply([]ending.CutReport{{Service: "b", FailureDomain: "x", AgeMs: ending.CutMemory.Milliseconds()}, {Service: "b", FailureDomain: "x", AgeMs: 1 << 62}}, time.Now()).Added)
		require.Equal(t, 1, cuts.Apply([]ending.CutReport{{Service: "b", FailureDomain: "x", AgeMs: -5}}, time.Now()).Added)
		time.Sleep(ending.CutMemory - 500*time.Millisecond)
		require.False(t, cuts.Known("a", "x", true, time.Now()))
		require.True(t, cuts.Known("b", "x", true, time.Now()), "an age below 0 is 0")
	})
}

// Guards against memory that grows with the names that hosts tell.
func TestCutsAreBounded(t *testing.T) {
	cuts, now := ending.NewCuts(), time.Unix(1000, 0)
	for number := range 10_000 {
		now = now.Add(time.Millisecond)
		cuts.Record(ending.Place{Service: fmt.Sprint(number), FailureDomain: "x"}, now)
	}
	total := 0
	for _, message := range cuts.TakeDue(now) {
		require.LessOrEqual(t, len(message), 16)
		total += len(message)
	}
	require.Equal(t, 256, total)
	require.True(t, cuts.Known("9999", "x", true, now))
	require.Len(t, cuts.Newest(now), 16)
	require.Equal(t, "9999", cuts.Newest(now)[0].Service)
	require.Equal(t, 0, cuts.Apply([]ending.CutReport{{Service: string(make([]byte, 10_000)), FailureDomain: "y"}}, now).Added)
}
