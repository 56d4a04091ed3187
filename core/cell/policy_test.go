package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

const target = 530 * time.Millisecond

// stream asks for calls at a steady interval and returns their answers.
func stream(t *testing.T, subject *cell.Cell, count int, every time.Duration, request cell.Request) []*answer {
	answers := make([]*answer, count)
	for index := range answers {
		request.ID = fmt.Sprint(request.Class, index)
		request.FirstToken = time.Now().Add(target)
		answers[index] = ask(t.Context(), subject, request)
		time.Sleep(every)
	}
	return answers
}

// attainment waits for the answers and returns the share with the first token
// in the target.
func attainment(answers []*answer) float64 {
	met := 0
	for _, answer := range answers {
		<-answer.ended
		if answer.err == nil && answer.first <= target {
			met++
		}
	}
	return float64(met) / float64(len(answers))
}

// Guards against a slow engine that gets as much work as the others (switch
// DisableHealth; hedges are off, so that the weights alone have to do it).
func TestSlowEngineGetsLittleWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := make([]*engine, 5)
		for index := range engines {
			engines[index] = newEngine(first, gap)
		}
		engines[4] = newEngine(8*first, 8*gap)
		subject := cell.New(cell.Options{
			Servers: servers(4, engines...), Switches: cell.Switches{DisableHedge: true},
		})
		// The cell gets 40 calls per second, three quarters of its capacity.
		stream(t, subject, 100, 25*time.Millisecond, cell.Request{Class: "warm", MaxTokens: 10, Idempotent: true})
		answers := stream(t, subject, 300, 25*time.Millisecond, cell.Request{Class: "top", MaxTokens: 10, Idempotent: true})
		require.GreaterOrEqual(t, attainment(answers), 0.99)
		requireIdle(t, subject)
	})
}

// Guards against a call that waits for a slow first token while other engines
// are idle, and against hedges beyond the budget (switch DisableHedge).
func TestHedgeBeforeTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := []*engine{newEngine(first, gap), newEngine(first, gap)}
		subject := cell.New(cell.Options{Servers: servers(4, engines...)})
		attainment(stream(t, subject, 20, 400*time.Millisecond, cell.Request{Class: "warm", MaxTokens: 5, Idempotent: true}))
		require.Zero(t, subject.Stats().Hedged)
		engines[0].freeze(true)
		answers := stream(t, subject, 4, time.Millisecond, cell.Request{Class: "late", MaxTokens: 5, Idempotent: true})
		require.InDelta(t, 1.0, attainment(answers), 0.01)
		require.LessOrEqual(t, subject.Stats().Hedged, 4)
		require.Equal(t, 2, subject.Stats().HedgesWon)
		once := ask(t.Context(), subject, cell.Request{ID: "once", MaxTokens: 5})
		<-once.ended
		require.Equal(t, 1, engines[0].count("once")+engines[1].count("once"), "not idempotent")
	})
}

// Guards against short questions that wait behind long annotations (switch
// DisableLongCap; preemption is off, so that the cap alone has to do it).
func TestLongWorkLeavesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{
			Servers:  servers(8, newEngine(first, gap), newEngine(first, gap)),
			Switches: cell.Switches{DisablePreempt: true, DisableAdmission: true},
		})
		attainment(stream(t, subject, 30, 100*time.Millisecond, cell.Request{Class: "short", MaxTokens: 10, Idempotent: true}))
		attainment(stream(t, subject, 30, time.Millisecond, cell.Request{Class: "long", MaxTokens: 300, Idempotent: true, Tier: 4}))
		stream(t, subject, 1, time.Second, cell.Request{Class: "short", MaxTokens: 10, Idempotent: true})
		long := stream(t, subject, 30, time.Millisecond, cell.Request{Class: "long", MaxTokens: 300, Idempotent: true, Tier: 4})
		short := stream(t, subject, 30, 100*time.Millisecond, cell.Request{Class: "short", MaxTokens: 10, Idempotent: true})
		require.GreaterOrEqual(t, attainment(short), 0.95)
		attainment(long)
		requireIdle(t, subject)
	})
}

// Guards against overload that makes all classes late, against top-tier work
// that is shed for its target and against shed work that was run (switch
// DisableAdmission).
func TestOverloadShedsTheLowestTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(4, newEngine(first, gap))})
		var top, low []*answer
		for range 60 {
			// Four slots give 10 calls a second; 5 and 20 come.
			top = append(top, stream(t, subject, 1, 0, cell.Request{Class: "top", MaxTokens: 15, Idempotent: true})...)
			low = append(low, stream(t, subject, 4, 50*time.Millisecond, cell.Request{
				Class: "low", Tier: 3, MaxTokens: 15, Idempotent: true,
			})...)
		}
		require.GreaterOrEqual(t, attainment(top), 0.95)
		admitted := slices.DeleteFunc(low, func(answer *answer) bool {
			<-answer.ended
			if answer.err == nil {
				return false
			}
			require.True(t, fault.Is(answer.err, cell.Shed), answer.err)
			require.Equal(t, cell.NotRun, answer.outcome.Run)
			require.Zero(t, answer.outcome.Attempts)
			require.Positive(t, answer.outcome.RetryAfter)
			return true
		})
		require.Greater(t, len(admitted), 50)
		require.GreaterOrEqual(t, attainment(admitted), 0.5)
	})
}

// Guards against top-tier work that is shed because it would be late (change:
// test the target of the top tier in latestStart too).
func TestTopTierIsNotShedForItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(1, newEngine(first, gap))})
		running := stream(t, subject, 1, time.Second, cell.Request{Class: "running", MaxTokens: 200})
		late := stream(t, subject, 1, 0, cell.Request{Class: "late", MaxTokens: 20})
		low := stream(t, subject, 1, 0, cell.Request{Class: "low", Tier: 2, MaxTokens: 20})
		<-low[0].ended
		require.True(t, fault.Is(low[0].err, cell.Shed))
		running[0].requireWhole(t)
		late[0].requireWhole(t)
	})
}

// Guards against a full queue that turns high-tier work away while it holds
// low-tier work, and against shed calls of which an engine has run a part.
func TestFullQueueShedsTheLowestTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(1, newEngine(first, gap)), Capacity: 2})
		send := func(id string, tier int) *answer {
			defer synctest.Wait()
			return ask(t.Context(), subject, cell.Request{ID: id, Tier: tier, MaxTokens: 20, Idempotent: true})
		}
		running := send("running", 3)
		middle, low := send("middle", 2), send("low", 3)
		top, lowest := send("top", 1), send("lowest", 4)
		for _, shed := range []*answer{low, lowest} {
			<-shed.ended
			require.True(t, fault.Is(shed.err, cell.Shed))
			require.Equal(t, cell.NotRun, shed.outcome.Run)
		}
		for _, served := range []*answer{running, top, middle} {
			served.requireWhole(t)
		}
		require.Less(t, top.took, middle.took)
	})
}

// Guards against a lowest class that is never served while higher tiers take
// all slots (switch DisableMinimumShare).
func TestEveryClassIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{
			Servers: servers(4, newEngine(first, gap)), MinimumShares: map[string]float64{"lowest": 0.1},
			Switches: cell.Switches{DisableAdmission: true},
		})
		lowest := stream(t, subject, 3, 0, cell.Request{Class: "lowest", Tier: 6, MaxTokens: 15, Idempotent: true})
		busy := make(chan []*answer)
		go func() {
			busy <- stream(t, subject, 600, 50*time.Millisecond, cell.Request{Class: "top", MaxTokens: 15, Idempotent: true})
		}()
		lowest = append(lowest, stream(t, subject, 3, time.Second, cell.Request{Class: "lowest", Tier: 6, MaxTokens: 15, Idempotent: true})...)
		for _, answer := range lowest {
			answer.requireWhole(t)
			require.Less(t, answer.took, 25*time.Second)
		}
		attainment(<-busy)
	})
}

// Guards against prompts that are processed again on a server without their
// prefix (switch DisableAffinity).
func TestPrefixAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(8, newEngine(first, gap), newEngine(first, gap))})
		subject.Cached("e1", []uint64{1, 2}, nil)
		for range 3 {
			cached := ask(t.Context(), subject, cell.Request{ID: "a", MaxTokens: 20, Prefixes: []uint64{1, 2, 3}})
			synctest.Wait()
			defer func() { require.Equal(t, "e1", cached.outcome.Server) }()
			defer cached.requireWhole(t)
		}
	})
}

// Guards against new work for a server that is leaving, and against its running
// work being cut (change: let open ignore Leaving).
func TestLeavingServerGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := []*engine{newEngine(first, gap), newEngine(first, gap)}
		list := servers(4, engines...)
		subject := cell.New(cell.Options{Servers: list})
		before := []*answer{
			ask(t.Context(), subject, cell.Request{ID: "a", MaxTokens: 50}),
			ask(t.Context(), subject, cell.Request{ID: "b", MaxTokens: 50}),
		}
		time.Sleep(first)
		list[0].Leaving = true
		subject.Update(list)
		after := stream(t, subject, 10, 10*time.Millisecond, cell.Request{Class: "after", MaxTokens: 5, Idempotent: true})
		for _, answer := range append(before, after...) {
			answer.requireWhole(t)
		}
		require.Equal(t, 1, engines[0].peak)
	})
}
