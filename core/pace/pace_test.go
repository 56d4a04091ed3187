package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pace"
)

// engines returns servers with a number of requests in flight.
func engines(count, inFlight int) []fleet.Member {
	members := make([]fleet.Member, count)
	for index := range members {
		members[index] = fleet.Member{
			Server: fleet.Server{ID: fmt.Sprintf("engine-%02d", index), Service: "engines", Started: time.Unix(1, 0)},
			Peers:  fleet.InFlight{Running: inFlight},
		}
	}
	return members
}

// learn lets a tracker observe a minute of streams at servers of some speeds, with a seventh of them in
// momentary slow periods, and returns when it ends.
func learn(tracker *pace.Tracker, members []fleet.Member, speeds []float64, random *rand.Rand, now time.Time) time.Time {
	tracker.Full("engines", members, now)
	for range 60 {
		now = now.Add(2 * time.Second)
		tracker.Full("engines", members, now)
		for index, member := range members {
			speed, slowness := speeds[index%len(speeds)], 1.0
			if random.IntN(7) == 0 {
				slowness = 2.5
			}
			prefill := 100 * speed * slowness * math.Exp(0.7*random.NormFloat64())
			tracker.Observe(member.Server, pace.Outcome{Kind: pace.Prefill, Actual: ms(prefill), Expected: 100 * time.Millisecond, Slowness: slowness}, now)
			if index%2 == 0 {
				tracker.Observe(member.Server, pace.Outcome{Kind: pace.Gap, Actual: ms(30 * speed * math.Exp(0.12*random.NormFloat64()))}, now)
			}
		}
	}
	return now
}

func ms(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }

// Guards against choices that change where a fleet's servers are all alike.
func TestServersThatAreAlike(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	tracker, members := pace.New("host"), engines(60, 5)
	now := learn(tracker, members, []float64{1}, random, time.Unix(100, 0))
	require.Nil(t, tracker.Speeds("engines", now))
	require.InDelta(t, 1, tracker.Spread(), 0)
	require.InDelta(t, 1, tracker.Estimate(members[0].Server, now).Prefill, 0)
}

// Guards against estimates that follow momentary slow periods, or that are not relative to the service's
// usual although only some servers are seen with streams.
func TestSpeedsAreLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	tracker, members, speeds := pace.New("host"), engines(60, 5), []float64{0.6, 1, 1.6}
	now := learn(tracker, members, speeds, random, time.Unix(100, 0))
	sums := make([]float64, len(speeds))
	for index, member := range members {
		estimate := tracker.Estimate(member.Server, now)
		sums[index%len(speeds)] += math.Log(estimate.Prefill) / 20
		require.InDelta(t, 1, estimate.Confidence, 0.01)
	}
	for index, speed := range speeds {
		require.InDelta(t, math.Log(speed), sums[index], 0.15, speed)
	}
}

// Guards against an engine that turns slow and is taken for fast until many answers have come from it, and
// against one that stays slow in the books.
func TestServerTurnsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	tracker, members := pace.New("host"), engines(30, 5)
	now := learn(tracker, members, []float64{0.7, 1, 1.4}, random, time.Unix(100, 0))
	observe := func(gap float64) {
		now = now.Add(time.Second)
		tracker.Observe(members[4].Server, pace.Outcome{Kind: pace.Gap, Actual: ms(gap)}, now)
	}
	for range 3 {
		observe(63)
	}
	now = now.Add(time.Second)
	require.Greater(t, tracker.Estimate(members[4].Server, now).Gap, 1.5)
	for range 4 {
		observe(30)
	}
	now = now.Add(time.Second)
	require.Less(t, tracker.Estimate(members[4].Server, now).Gap, 1.3)
}

// Guards against hosts that learn nothing from each other, and against observations that count twice.
func TestSpeedsAreTold(t *testing.T) {
	now, members := time.Unix(100, 0), engines(90, 5)
	teller, listener := pace.New("a"), pace.New("b")
	for _, tracker := range []*pace.Tracker{teller, listener} {
		tracker.Full("engines", members, now)
	}
	told := 0
	for round := range 40 {
		now = now.Add(3 * time.Second)
		for index, member := range members {
			if index%4 == round%4 {
				teller.Observe(member.Server, pace.Outcome{Kind: pace.Gap, Actual: ms(30 * []float64{0.6, 1, 1.6}[index%3])}, now)
			}
		}
		reports := teller.PendingSpeeds(11, now)
		require.LessOrEqual(t, len(reports), 40)
		require.Empty(t, teller.PendingSpeeds(11, now.Add(time.Second)), "a message every 250 ms for each recipient")
		listener.ApplySpeeds(reports, now)
		for _, report := range reports {
			told += report.Count
		}
		teller.Full("engines", members, now)
		listener.Full("engines", members, now)
	}
	require.LessOrEqual(t, told, 40*90/4+20)
	for index, speed := range []float64{0.6, 1, 1.6} {
		require.InDelta(t, speed, listener.Estimate(members[index].Server, now).Gap, 0.1)
	}
}

// Guards against prompts of other requests and stalls that count as the engine's speed.
func TestSpans(t *testing.T) {
	var spans pace.Spans
	now := time.Unix(100, 0)
	for count := 1; count <= 33; count++ {
		gap := 25 * time.Millisecond
		if count%7 == 0 {
			gap = 120 * time.Millisecond
		}
		now = now.Add(gap)
		spans.Add(count, now)
	}
	require.InDelta(t, 25, spans.Gap().Seconds()*1000, 3)
	require.Zero(t, new(pace.Spans).Gap())
}
