package health_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/health"
)

const usualGap = 20 * time.Millisecond

// observe feeds ten first tokens and gaps of each server.
func observe(subject *health.Health, slowness map[string]int) {
	for range 10 {
		for name, factor := range slowness {
			subject.ObserveFirstToken(name, time.Duration(factor)*100*time.Millisecond)
			subject.ObserveGap(name, time.Duration(factor)*usualGap, 1)
		}
	}
}

func newHealth(names ...string) *health.Health {
	subject := health.New(health.Options{})
	subject.Update(names)
	return subject
}

// Guards against a slow server that keeps its share of the work, and against
// one that gets all of it back at once.
func TestSlowServerIsWeightedDownAndSlowStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a", "b", "c")
		observe(subject, map[string]int{"a": 1, "b": 1, "c": 5})
		require.InDelta(t, 1.0, subject.Weight("a"), 0.01)
		require.InDelta(t, 0.2, subject.Weight("c"), 0.01)
		for range 5 {
			observe(subject, map[string]int{"c": 1})
		}
		require.InDelta(t, 0.2, subject.Weight("c"), 0.01)
		time.Sleep(health.DefaultSlowStart / 2)
		require.InDelta(t, 0.7, subject.Weight("c"), 0.01)
		time.Sleep(health.DefaultSlowStart)
		require.InDelta(t, 1.0, subject.Weight("c"), 0.01)
	})
}

// Guards against a slow server that keeps its full weight because its cell has
// no other server to compare it with, and against one that is held to its best
// for ever.
func TestSlowServerWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a")
		observe(subject, map[string]int{"a": 1})
		require.InDelta(t, 1.0, subject.Weight("a"), 0.01)
		for range 5 {
			observe(subject, map[string]int{"a": 5})
		}
		require.InDelta(t, 0.2, subject.Weight("a"), 0.01)
		for range 20 {
			time.Sleep(time.Minute)
			observe(subject, map[string]int{"a": 5})
		}
		require.InDelta(t, 1.0, subject.Weight("a"), 0.01)
	})
}

// Guards against servers that keep their full weight because all of the cell's
// servers became slow together, and against one weighted down for a full batch.
func TestOwnBestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a", "b")
		observe(subject, map[string]int{"a": 1, "b": 1})
		for range 5 {
			observe(subject, map[string]int{"a": 2, "b": 2})
		}
		require.InDelta(t, 1.0, subject.Weight("a"), 0.01)
		for range 5 {
			observe(subject, map[string]int{"a": 5, "b": 5})
		}
		require.InDelta(t, 0.2, subject.Weight("a"), 0.01)
		require.InDelta(t, 0.2, subject.Weight("b"), 0.01)
	})
}

// Guards against work for a server that has just failed, against a server that
// is never tried again, and against one that fails each probe.
func TestFailedServerIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a", "b")
		subject.ObserveFailure("b")
		subject.ObserveFailure("b")
		require.Zero(t, subject.Weight("b"))
		require.False(t, subject.ProbeDue("b"))
		time.Sleep(time.Second)
		require.True(t, subject.ProbeDue("b"))
		subject.Probed("b")
		require.False(t, subject.ProbeDue("b"), "one probe at a time")
		subject.ObserveFailure("b")
		time.Sleep(1900 * time.Millisecond)
		require.False(t, subject.ProbeDue("b"), "the second penalty is twice the first")
		time.Sleep(100 * time.Millisecond)
		require.True(t, subject.ProbeDue("b"))
		subject.ObserveFirstToken("b", 100*time.Millisecond)
		require.InDelta(t, 0.1, subject.Weight("b"), 0.01)
		require.False(t, subject.ProbeDue("a"), "a healthy server needs no probe")
	})
}

// Guards against a server that stays out for long after a restart, because it
// refused the probes meanwhile.
func TestRefusalsBlockForTwoSecondsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a", "b")
		for range 10 {
			subject.ObserveRefusal("b")
			require.False(t, subject.ProbeDue("b"))
			time.Sleep(2 * time.Second)
			require.True(t, subject.ProbeDue("b"))
		}
	})
}

// Guards against old load reports that are taken at face value.
func TestReportIsAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a", "b")
		subject.Report("a", health.Load{Waiting: 8, Slots: 8})
		subject.Report("b", health.Load{Waiting: 8, Slots: 8, Age: 9 * time.Second})
		require.InDelta(t, 0.5, subject.Weight("a"), 0.01)
		require.Greater(t, subject.Weight("b"), 0.95)
		time.Sleep(15 * time.Second)
		require.Greater(t, subject.Weight("a"), 0.95)
		subject.Report("a", health.Load{Leaving: true, Age: time.Minute})
		require.Zero(t, subject.Weight("a"))
		require.True(t, subject.Leaving("a"))
		require.False(t, subject.ProbeDue("a"))
	})
}

// Guards against stall limits that end healthy attempts of slow models or long
// prompts, and against limits that wait without end.
func TestStallLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a")
		require.Equal(t, health.DefaultStallFloor, subject.GapLimit())
		require.Equal(t, health.DefaultFirstTokenFloor, subject.FirstTokenLimit(0))
		observe(subject, map[string]int{"a": 10})
		require.Equal(t, 4*time.Second, subject.GapLimit().Round(time.Millisecond))
		require.Equal(t, 10*time.Second, subject.FirstTokenLimit(0))
		require.Equal(t, 20*time.Second, subject.FirstTokenLimit(1))
	})
}

// Guards against a silent server that looks well because only answers count.
func TestSilenceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := newHealth("a", "b", "c")
		observe(subject, map[string]int{"a": 1, "b": 1, "c": 1})
		subject.ObserveSilence("c", 50*time.Millisecond)
		require.InDelta(t, 1.0, subject.Weight("c"), 0.01)
		for range 3 {
			subject.ObserveSilence("c", 2*time.Second)
		}
		require.Less(t, subject.Weight("c"), 0.2)
	})
}
