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

const firstTokenTarget = 530 * time.Millisecond

// sendCalls starts calls at a fixed interval and returns their answers.
func sendCalls(t *testing.T, subject *cell.Cell, count int, every time.Duration, request cell.Request) []*answer {
	answers := make([]*answer, count)
	for index := range answers {
		request.ID = fmt.Sprint(request.Class, index)
		request.FirstToken = time.Now().Add(firstTokenTarget)
		answers[index] = startCall(t.Context(), subject, request)
		time.Sleep(every)
	}
	return answers
}

// attainment waits for the calls to end and returns the fraction whose first
// token met the target.
func attainment(answers []*answer) float64 {
	met := 0
	for _, answer := range answers {
		<-answer.ended
		if answer.err == nil && answer.firstToken <= firstTokenTarget {
			met++
		}
	}
	return float64(met) / float64(len(answers))
}

// Guards against a slow engine that gets as many calls as the others. Fails
// with DisableHealth; hedging is off because it would hide slow first tokens.
func TestSlowEngineGetsLittleWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := make([]*engine, 5)
		for index := range engines {
			engines[index] = newEngine(firstToken, tokenGap)
		}
		engines[4] = newEngine(8*firstToken, 8*tokenGap)
		subject := cell.New(cell.Options{
			Servers: servers(4, engines...), Switches: cell.Switches{DisableHedge: true},
		})
		// The cell receives 40 calls per second, three quarters of its capacity.
		sendCalls(t, subject, 100, 25*time.Millisecond, cell.Request{Class: "warm", MaxTokens: 10, Idempotent: true})
		answers := sendCalls(t, subject, 300, 25*time.Millisecond, cell.Request{Class: "top", MaxTokens: 10, Idempotent: true})
		require.GreaterOrEqual(t, attainment(answers), 0.99)
		requireIdle(t, subject)
	})
}

// Guards against a call that waits for a slow first token while other engines
// are idle, and against hedges beyond the budget. Fails with DisableHedge.
func TestHedgeBeforeTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := []*engine{newEngine(firstToken, tokenGap), newEngine(firstToken, tokenGap)}
		subject := cell.New(cell.Options{Servers: servers(4, engines...)})
		attainment(sendCalls(t, subject, 20, 400*time.Millisecond, cell.Request{Class: "warm", MaxTokens: 5, Idempotent: true}))
		require.Zero(t, subject.Stats().Hedged)
		engines[0].setFrozen(true)
		answers := sendCalls(t, subject, 4, time.Millisecond, cell.Request{Class: "late", MaxTokens: 5, Idempotent: true})
		require.InDelta(t, 1.0, attainment(answers), 0.01)
		require.LessOrEqual(t, subject.Stats().Hedged, 4)
		require.Equal(t, 2, subject.Stats().HedgesWon)
		once := startCall(t.Context(), subject, cell.Request{ID: "once", MaxTokens: 5})
		<-once.ended
		require.Equal(t, 1, engines[0].runCount("once")+engines[1].runCount("once"), "not idempotent")
	})
}

// Guards against short calls that wait behind long ones. Fails with
// DisableLongCap; preemption is off because it would also free slots for short
// calls.
func TestLongWorkLeavesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{
			Servers:  servers(8, newEngine(firstToken, tokenGap), newEngine(firstToken, tokenGap)),
			Switches: cell.Switches{DisablePreempt: true, DisableAdmission: true},
		})
		attainment(sendCalls(t, subject, 30, 100*time.Millisecond, cell.Request{Class: "short", MaxTokens: 10, Idempotent: true}))
		attainment(sendCalls(t, subject, 30, time.Millisecond, cell.Request{Class: "long", MaxTokens: 300, Idempotent: true, Tier: 4}))
		sendCalls(t, subject, 1, time.Second, cell.Request{Class: "short", MaxTokens: 10, Idempotent: true})
		long := sendCalls(t, subject, 30, time.Millisecond, cell.Request{Class: "long", MaxTokens: 300, Idempotent: true, Tier: 4})
		short := sendCalls(t, subject, 30, 100*time.Millisecond, cell.Request{Class: "short", MaxTokens: 10, Idempotent: true})
		require.GreaterOrEqual(t, attainment(short), 0.95)
		attainment(long)
		requireIdle(t, subject)
	})
}

// Guards against an overload that makes all classes miss their targets, against
// shedding top-tier calls for their target, and against shed calls that were
// run. Fails with DisableAdmission.
func TestOverloadShedsTheLowestTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(4, newEngine(firstToken, tokenGap))})
		var top, low []*answer
		for range 60 {
			// Four slots serve 10 calls per second; 5 top and 20 low ones arrive.
			top = append(top, sendCalls(t, subject, 1, 0, cell.Request{Class: "top", MaxTokens: 15, Idempotent: true})...)
			low = append(low, sendCalls(t, subject, 4, 50*time.Millisecond, cell.Request{
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

// Guards against top-tier calls that are shed because they would miss their
// target. Fails if latestFirstToken applies the target to the top tier.
func TestTopTierIsNotShedForItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(1, newEngine(firstToken, tokenGap))})
		running := sendCalls(t, subject, 1, time.Second, cell.Request{Class: "running", MaxTokens: 200})
		late := sendCalls(t, subject, 1, 0, cell.Request{Class: "late", MaxTokens: 20})
		low := sendCalls(t, subject, 1, 0, cell.Request{Class: "low", Tier: 2, MaxTokens: 20})
		<-low[0].ended
		require.True(t, fault.Is(low[0].err, cell.Shed))
		running[0].requireComplete(t)
		late[0].requireComplete(t)
	})
}

// Guards against a full queue that rejects high-tier calls while it holds
// low-tier ones, and against shedding calls that an engine has partly run.
func TestFullQueueShedsTheLowestTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(1, newEngine(firstToken, tokenGap)), Capacity: 2})
		send := func(id string, tier int) *answer {
			defer synctest.Wait()
			return startCall(t.Context(), subject, cell.Request{ID: id, Tier: tier, MaxTokens: 20, Idempotent: true})
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
			served.requireComplete(t)
		}
		require.Less(t, top.duration, middle.duration)
	})
}

// Guards against starvation of the lowest class while higher tiers use all
// slots. Fails with DisableMinimumShare.
func TestEveryClassIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{
			Servers: servers(4, newEngine(firstToken, tokenGap)), MinimumShares: map[string]float64{"lowest": 0.1},
			Switches: cell.Switches{DisableAdmission: true},
		})
		lowest := sendCalls(t, subject, 3, 0, cell.Request{Class: "lowest", Tier: 6, MaxTokens: 15, Idempotent: true})
		busy := make(chan []*answer)
		go func() {
			busy <- sendCalls(t, subject, 600, 50*time.Millisecond, cell.Request{Class: "top", MaxTokens: 15, Idempotent: true})
		}()
		lowest = append(lowest, sendCalls(t, subject, 3, time.Second, cell.Request{Class: "lowest", Tier: 6, MaxTokens: 15, Idempotent: true})...)
		for _, answer := range lowest {
			answer.requireComplete(t)
			require.Less(t, answer.duration, 25*time.Second)
		}
		attainment(<-busy)
	})
}

// Guards against processing a prompt on a server that does not have its prefix
// cached while another one does. Fails with DisableAffinity.
func TestPrefixAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(8, newEngine(firstToken, tokenGap), newEngine(firstToken, tokenGap))})
		subject.ApplyCacheEvents("e1", []uint64{1, 2}, nil)
		for range 3 {
			cached := startCall(t.Context(), subject, cell.Request{ID: "a", MaxTokens: 20, Prefixes: []uint64{1, 2, 3}})
			synctest.Wait()
			defer func() { require.Equal(t, "e1", cached.outcome.Server) }()
			defer cached.requireComplete(t)
		}
	})
}

// Guards against assigning new calls to a server that is leaving, and against
// cutting off its running calls. Fails if both schedulable and weight ignore
// Leaving.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := []*engine{newEngine(firstToken, tokenGap), newEngine(firstToken, tokenGap)}
		list := servers(4, engines...)
		subject := cell.New(cell.Options{Servers: list})
		before := []*answer{
			startCall(t.Context(), subject, cell.Request{ID: "a", MaxTokens: 50}),
			startCall(t.Context(), subject, cell.Request{ID: "b", MaxTokens: 50}),
		}
		time.Sleep(firstToken)
		list[0].Leaving = true
		subject.Update(list)
		after := sendCalls(t, subject, 10, 10*time.Millisecond, cell.Request{Class: "after", MaxTokens: 5, Idempotent: true})
		for _, answer := range append(before, after...) {
			answer.requireComplete(t)
		}
		require.Equal(t, 1, engines[0].peakRunning)
	})
}
