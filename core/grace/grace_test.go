package grace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/grace"
)

const length = 2 * time.Second

// start is when the plays begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a record of an earlier era that ends the period of a newer one, which a host knows from another host
// before it has read the store.
func TestRecordsOfEarlierErasEndNoPeriod(t *testing.T) {
	period := grace.New(length)
	require.False(t, period.Over(at(9)), "no era is known")
	period.Begin(1)
	period.Settle(1)
	require.True(t, period.Over(at(0)))
	period.Begin(2)
	require.False(t, period.Over(at(5)))
	period.Settle(1)
	require.False(t, period.Over(at(6)))
	period.Begin(1)
	require.Equal(t, int64(2), period.Era())
	period.Settle(2)
	require.True(t, period.Over(at(6)))
}

// Guards against a period that passes while the store cannot be read, so that its clients can't write either.
func TestPeriodIsCountedWhileTheStoreIsRead(t *testing.T) {
	type step struct {
		at   float64
		what string
		era  int64
	}
	for _, play := range []struct {
		name  string
		steps []step
		// overAt is when the period is over: not at any step before.
		overAt float64
		// isRecorded: it ends early, by a record.
		isRecorded bool
	}{
		{"back at once", []step{{0, "begin", 1}, {0, "read", 1}}, 2, false},
		{"it names the era before it can be read", []step{{0, "begin", 1}, {1, "lose", 0}, {2, "lose", 0}, {3, "read", 1}}, 5, false},
		{"back for a second and away again", []step{{0, "read", 1}, {0.5, "read", 1}, {1, "lose", 0}, {4, "lose", 0}, {5, "read", 1}, {6, "read", 1}}, 7, false},
		{"away after the period", []step{{0, "read", 1}, {3, "lose", 0}, {3.5, "read", 1}}, 2, false},
		{"two drills in series", []step{{0, "read", 1}, {1, "begin", 2}, {1.5, "read", 2}}, 3.5, false},
		{"a drill after the period", []step{{0, "read", 1}, {5, "begin", 2}, {6, "lose", 0}, {7, "read", 2}}, 9, false},
		{"an answer of the era before comes late", []step{{0, "begin", 1}, {1, "begin", 2}, {1.5, "read", 1}, {2, "read", 2}}, 4, false},
		{"another host has recorded it", []step{{0, "read", 1}, {1, "lose", 0}, {1.5, "settle", 1}}, 1.5, true},
		{"it is recorded before the host reads", []step{{0, "settle", 1}, {1, "begin", 1}}, 1, true},
	} {
		t.Run(play.name, func(t *testing.T) {
			period := grace.New(length)
			for _, step := range play.steps {
				switch step.what {
				case "begin":
					period.Begin(step.era)
				case "read":
					period.Read(step.era, at(step.at))
				case "lose":
					period.Lose(at(step.at))
				case "settle":
					period.Settle(step.era)
				}
				if step.at < play.overAt {
					require.False(t, period.Over(at(step.at)), "%v s", step.at)
					require.False(t, !play.isRecorded && period.End(at(step.at)).After(at(play.overAt)), "a wait that begins at %v s is too long", step.at)
				}
			}
			require.True(t, period.Over(at(max(play.overAt, play.steps[len(play.steps)-1].at))))
		})
	}
}
