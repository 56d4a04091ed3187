package health_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/health"
)

const typicalGap = 20 * time.Millisecond

// observe records ten first tokens and ten gaps for each server, scaled by its factor.
func observe(tracker *health.Tracker, slowness map[string]int) {
	for range 10 {
		for name, factor := range slowness {
			tracker.ObserveFirstToken(name, time.Duration(factor)*100*time.Millisecond)
			tracker.ObserveGap(name, time.Duration(factor)*typicalGap, 1)
		}
	}
}

func newTracker(names ...string) *health.Tracker {
	tracker := health.New(health.Options{})
	tracker.SetServers(names)
	return tracker
}

// Guards against a slow server that keeps its full weight, and against a recovered
// one whose weight returns to 1 at once.
func TestSlowServerIsWeightedDownAndSlowStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a", "b", "c")
		observe(tracker, map[string]int{"a": 1, "b": 1, "c": 5})
		require.InDelta(t, 1.0, tracker.Weight("a"), 0.01)
		require.InDelta(t, 0.2, tracker.Weight("c"), 0.01)
		for range 5 {
			observe(tracker, map[string]int{"c": 1})
		}
		require.InDelta(t, 0.2, tracker.Weight("c"), 0.01)
		time.Sleep(health.DefaultSlowStart / 2)
		require.InDelta(t, 0.7, tracker.Weight("c"), 0.01)
		time.Sleep(health.DefaultSlowStart)
		require.InDelta(t, 1.0, tracker.Weight("c"), 0.01)
	})
}

// Guards against a slow server that keeps its full weight because its cell has no
// other server to compare it with, and against a best gap that never adapts to a
// lasting change.
func TestSlowServerWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		observe(tracker, map[string]int{"a": 1})
		require.InDelta(t, 1.0, tracker.Weight("a"), 0.01)
		for range 5 {
			observe(tracker, map[string]int{"a": 5})
		}
		require.InDelta(t, 0.2, tracker.Weight("a"), 0.01)
		for range 20 {
			time.Sleep(time.Minute)
			observe(tracker, map[string]int{"a": 5})
		}
		require.InDelta(t, 1.0, tracker.Weight("a"), 0.01)
	})
}

// Guards against servers that keep their full weight because all servers of the cell
// became slow together, and against a reduced weight for the slowdown of a full batch.
func TestOwnBestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a", "b")
		observe(tracker, map[string]int{"a": 1, "b": 1})
		for range 5 {
			observe(tracker, map[string]int{"a": 2, "b": 2})
		}
		require.InDelta(t, 1.0, tracker.Weight("a"), 0.01)
		for range 5 {
			observe(tracker, map[string]int{"a": 5, "b": 5})
		}
		require.InDelta(t, 0.2, tracker.Weight("a"), 0.01)
		require.InDelta(t, 0.2, tracker.Weight("b"), 0.01)
	})
}

// Guards against calls to a server that has just failed, against a server that is
// never probed again, and against frequent probes of one that keeps failing them.
func TestFailedServerIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a", "b")
		tracker.ObserveFailure("b")
		tracker.ObserveFailure("b")
		require.Zero(t, tracker.Weight("b"))
		require.False(t, tracker.ProbeDue("b"))
		time.Sleep(time.Second)
		require.True(t, tracker.ProbeDue("b"))
		tracker.MarkProbed("b")
		require.False(t, tracker.ProbeDue("b"), "only one probe per interval")
		tracker.ObserveFailure("b")
		time.Sleep(1900 * time.Millisecond)
		require.False(t, tracker.ProbeDue("b"), "the second penalty is twice the first")
		time.Sleep(100 * time.Millisecond)
		require.True(t, tracker.ProbeDue("b"))
		tracker.ObserveFirstToken("b", 100*time.Millisecond)
		require.InDelta(t, 0.1, tracker.Weight("b"), 0.01)
		require.False(t, tracker.ProbeDue("a"), "a healthy server needs no probe")
	})
}

// Guards against a server that stays blocked long after a restart, because it refused
// probes while it restarted.
func TestRefusalsBlockForTwoSecondsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a", "b")
		for range 10 {
			tracker.ObserveRefusal("b")
			require.False(t, tracker.ProbeDue("b"))
			time.Sleep(2 * time.Second)
			require.True(t, tracker.ProbeDue("b"))
		}
	})
}

// Guards against stale load reports that have the same effect as fresh ones.
func TestReportIsAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a", "b")
		tracker.Report("a", health.Load{Waiting: 8, Slots: 8})
		tracker.Report("b", health.Load{Waiting: 8, Slots: 8, Age: 9 * time.Second})
		require.InDelta(t, 0.5, tracker.Weight("a"), 0.01)
		require.Greater(t, tracker.Weight("b"), 0.95)
		time.Sleep(15 * time.Second)
		require.Greater(t, tracker.Weight("a"), 0.95)
		tracker.Report("a", health.Load{Leaving: true, Age: time.Minute})
		require.Zero(t, tracker.Weight("a"))
		require.True(t, tracker.Leaving("a"))
		require.False(t, tracker.ProbeDue("a"))
	})
}

// Guards against stall limits that cancel healthy attempts with slow models or long
// prompts, and against unbounded limits.
func TestStallLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		require.Equal(t, health.DefaultStallFloor, tracker.GapLimit())
		require.Equal(t, health.DefaultFirstTokenFloor, tracker.FirstTokenLimit(0))
		observe(tracker, map[string]int{"a": 10})
		require.Equal(t, 4*time.Second, tracker.GapLimit().Round(time.Millisecond))
		require.Equal(t, 10*time.Second, tracker.FirstTokenLimit(0))
		require.Equal(t, 20*time.Second, tracker.FirstTokenLimit(1))
	})
}

// Guards against an unresponsive server that keeps its weight because only the first
// tokens that arrive are counted.
func TestSilenceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a", "b", "c")
		observe(tracker, map[string]int{"a": 1, "b": 1, "c": 1})
		tracker.ObserveMissingFirstToken("c", 50*time.Millisecond)
		require.InDelta(t, 1.0, tracker.Weight("c"), 0.01)
		for range 3 {
			tracker.ObserveMissingFirstToken("c", 2*time.Second)
		}
		require.Less(t, tracker.Weight("c"), 0.2)
	})
}
