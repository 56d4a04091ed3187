package cell_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/poison"
)

const (
	first = 100 * time.Millisecond
	gap   = 20 * time.Millisecond
)

// Guards against answers that are lost, cut or repeated when the engine that
// gives them is killed, frozen or cut off in mid-stream (switch DisableResume,
// for the frozen engine DisableStall).
func TestBrokenAnswersResume(t *testing.T) {
	faults := map[string]func(engine *engine){
		"killed": func(engine *engine) { engine.crash(time.Minute) },
		"frozen": func(engine *engine) { engine.freeze(true) },
		"cut": func(engine *engine) {
			engine.hook(func(cell.Call, int) error { return fault.New("fake", cell.Broken, "reset") }, nil)
		},
		"cut without an error": func(engine *engine) {
			engine.hook(nil, func(piece cell.Chunk) []cell.Chunk { piece.FinishReason = ""; return []cell.Chunk{piece} })
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := []*engine{newEngine(first, gap), newEngine(first, gap)}
				subject := cell.New(cell.Options{Servers: servers(4, engines...)})
				answers := make([]*answer, 6)
				for index := range answers {
					answers[index] = ask(t.Context(), subject, cell.Request{
						ID: fmt.Sprint("r", index), Fingerprint: uint64(index + 1), MaxTokens: 30, Idempotent: true,
					})
				}
				time.Sleep(300*time.Millisecond + time.Microsecond)
				synctest.Wait()
				inject(engines[0])
				for _, answer := range answers {
					answer.requireWhole(t)
					require.Less(t, answer.took, 8*time.Second)
				}
				require.Equal(t, 3, subject.Stats().Resumed)
				requireIdle(t, subject)
			})
		})
	}
}

// Guards against work that is run twice, and against a caller who is told that
// lost work was not run (change: drop the test of Idempotent in over).
func TestNonIdempotentWorkRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := []*engine{newEngine(first, gap), newEngine(first, gap)}
		subject := cell.New(cell.Options{Servers: servers(4, engines...)})
		lost := ask(t.Context(), subject, cell.Request{ID: "lost", MaxTokens: 10})
		time.Sleep(first / 2)
		engines[0].crash(time.Minute)
		<-lost.ended
		require.True(t, fault.Is(lost.err, cell.Unknown), lost.err)
		require.Equal(t, cell.RunUnknown, lost.outcome.Run)
		require.Equal(t, 1, engines[0].count("lost")+engines[1].count("lost"))
		refused := ask(t.Context(), subject, cell.Request{ID: "refused", MaxTokens: 10})
		refused.requireWhole(t)
		require.Equal(t, 1, engines[1].count("refused"))
	})
}

// Guards against pieces of another request or of an older attempt in an answer
// (change: make foreign return false and Accept ignore its attempt).
func TestCrossedAndLatePieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noisy := newEngine(first, gap)
		noisy.label = func(piece cell.Chunk) []cell.Chunk {
			crossed, late := piece, piece
			crossed.Request, crossed.Text = "other", "other.7 "
			late.Attempt, late.Text = 99, "late "
			return []cell.Chunk{crossed, late, piece, piece}
		}
		subject := cell.New(cell.Options{Servers: servers(4, noisy)})
		ask(t.Context(), subject, cell.Request{ID: "a", MaxTokens: 10, Idempotent: true}).requireWhole(t)
		noisy.hook(nil, func(piece cell.Chunk) []cell.Chunk {
			if piece.Offset == 5 && piece.Attempt == 1 {
				// The piece went to another stream.
				return nil
			}
			return []cell.Chunk{piece}
		})
		swallowed := ask(t.Context(), subject, cell.Request{ID: "b", MaxTokens: 10, Idempotent: true})
		swallowed.requireWhole(t)
		require.Equal(t, 2, swallowed.outcome.Attempts)
	})
}

// Guards against a call that holds its slot after its caller went away (change:
// leave without cancelling the context).
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(1, newEngine(first, gap))})
		ctx, cancel := context.WithCancel(t.Context())
		gone := ask(ctx, subject, cell.Request{ID: "gone", MaxTokens: 1000, Idempotent: true})
		queued := ask(ctx, subject, cell.Request{ID: "queued", MaxTokens: 1000, Idempotent: true})
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		requireIdle(t, subject)
		<-gone.ended
		<-queued.ended
		runs := map[cell.Run]int{gone.outcome.Run: 1}
		runs[queued.outcome.Run]++
		require.Equal(t, map[cell.Run]int{cell.Ran: 1, cell.NotRun: 1}, runs)
		require.True(t, fault.Is(gone.err, cell.Gone) && fault.Is(queued.err, cell.Gone))
		_, err := subject.Serve(t.Context(), cell.Request{ID: "reader", MaxTokens: 1000}, func(cell.Chunk) error {
			return context.Canceled
		})
		require.True(t, fault.Is(err, cell.Gone))
		synctest.Wait()
		requireIdle(t, subject)
		deadline := ask(t.Context(), subject, cell.Request{
			ID: "deadline", MaxTokens: 1000, Deadline: time.Now().Add(time.Second),
		})
		<-deadline.ended
		require.True(t, fault.Is(deadline.err, cell.Expired))
		require.Equal(t, cell.Ran, deadline.outcome.Run)
	})
}

// Guards against a request that crashes one engine after the other, alone, as
// two different ones at once, in copies and with a caller that sends it again;
// and against the refusal of requests that shared an engine with it (switch
// DisablePoison).
func TestCrashLoop(t *testing.T) {
	for name, culprits := range map[string]int{"one": 1, "two": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crashLoop(t, culprits) })
		})
	}
}

func crashLoop(t *testing.T, culprits int) {
	engines := make([]*engine, 6)
	for index := range engines {
		engines[index] = newEngine(first, gap)
		engines[index].crashesAt(3, func(call cell.Call) bool { return call.Request.Fingerprint > 1000 })
	}
	subject := cell.New(cell.Options{Servers: servers(4, engines...)})
	send := func(id string, fingerprint int) *answer {
		return ask(t.Context(), subject, cell.Request{
			ID: id, Fingerprint: uint64(fingerprint), MaxTokens: 40, Idempotent: true,
		})
	}
	var innocent, guilty []*answer
	for index := range 12 {
		innocent = append(innocent, send(fmt.Sprint("i", index), index+1))
	}
	for round := range 4 {
		for copies := range 3 * culprits {
			guilty = append(guilty, send(fmt.Sprint("g", copies), 1001+copies%culprits))
		}
		time.Sleep(time.Duration(round+1) * 500 * time.Millisecond)
	}
	for _, answer := range innocent {
		answer.requireWhole(t)
	}
	for _, answer := range guilty {
		<-answer.ended
		require.True(t, fault.Is(answer.err, cell.Poison), answer.err)
	}
	crashes := 0
	for _, engine := range engines {
		crashes += engine.crashes
	}
	require.LessOrEqual(t, crashes, 2*culprits)
	requireIdle(t, subject)
}

// Guards against top-tier work that waits behind a burst of low-tier work, and
// against low-tier answers that lose text when they give way (switch
// DisablePreempt).
func TestBurstBeforeTopTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(2, newEngine(first, gap), newEngine(first, gap))})
		var low, top []*answer
		for index := range 8 {
			low = append(low, ask(t.Context(), subject, cell.Request{
				ID: fmt.Sprint("low", index), Class: "low", Tier: 5, MaxTokens: 400, Idempotent: true,
			}))
		}
		time.Sleep(time.Second)
		for index := range 4 {
			top = append(top, ask(t.Context(), subject, cell.Request{
				ID: fmt.Sprint("top", index), Class: "top", MaxTokens: 20, Idempotent: true,
				FirstToken: time.Now().Add(530 * time.Millisecond),
			}))
		}
		for _, answer := range top {
			answer.requireWhole(t)
			require.LessOrEqual(t, answer.first, 530*time.Millisecond)
		}
		for _, answer := range low {
			answer.requireWhole(t)
		}
		require.Equal(t, 4, subject.Stats().Preempted)
		requireIdle(t, subject)
	})
}

// Guards against queued work that is lost or misreported when the cell moves to
// another host, and against running work that is cut (change: drain without a
// grant; call cancel for the running ones).
func TestCloseDuringQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: servers(2, newEngine(first, gap))})
		var answers []*answer
		for index := range 6 {
			answers = append(answers, ask(t.Context(), subject, cell.Request{
				ID: fmt.Sprint("r", index), MaxTokens: 50, Idempotent: true,
			}))
		}
		time.Sleep(first + gap)
		subject.Close()
		completed := 0
		for _, answer := range answers {
			<-answer.ended
			if answer.err == nil {
				completed++
				answer.requireWhole(t)
				continue
			}
			require.True(t, fault.Is(answer.err, cell.Closed))
			require.Equal(t, cell.NotRun, answer.outcome.Run)
		}
		require.Equal(t, 2, completed)
		requireIdle(t, subject)
	})
}

// Guards against suspects of different tiers that take a server from each other
// without end, while work that no server suits holds one of them back (change:
// let evict ignore outranked).
func TestSuspectsOfTwoTiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspects := poison.New(poison.Options{})
		suspects.Crash(1, 100)
		suspects.Crash(2, 200)
		engines := []*engine{newEngine(first, gap), newEngine(first, gap), newEngine(first, gap), newEngine(first, gap)}
		subject := cell.New(cell.Options{Servers: servers(4, engines...), Suspects: suspects})
		var answers []*answer
		send := func(id string, tier, fingerprint, tokens int) {
			answers = append(answers, ask(t.Context(), subject, cell.Request{
				ID: id, Tier: tier, Fingerprint: uint64(fingerprint), MaxTokens: tokens, Idempotent: true,
				FirstToken: time.Now().Add(first),
			}))
		}
		for copies := range 3 {
			send(fmt.Sprint("copy", copies), 1, 7, 1000)
		}
		send("low", 4, 1, 400)
		time.Sleep(6 * time.Second)
		send("high", 2, 2, 10)
		for _, answer := range answers {
			answer.requireWhole(t)
		}
		require.LessOrEqual(t, subject.Stats().Preempted, 1)
		requireIdle(t, subject)
	})
}

// Guards against copies of a suspect that each cost an engine because they run
// on several hosts (change: give each cell its own Claims, or do not announce).
func TestSuspectSentThroughTwoHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engines []*engine
		for range 8 {
			engine := newEngine(first, gap)
			engine.crashesAt(20, func(call cell.Call) bool { return call.Request.Fingerprint == 1000 })
			engines = append(engines, engine)
		}
		owner := poison.New(poison.Options{})
		known := []*poison.Registry{poison.New(poison.Options{}), poison.New(poison.Options{}), owner}
		announce := func(records []poison.Record) {
			for _, registry := range known {
				registry.Merge(records)
			}
		}
		var cells []*cell.Cell
		for index := range 2 {
			cells = append(cells, cell.New(cell.Options{
				Name: fmt.Sprint("cell", index), Servers: servers(4, engines[4*index:4*index+4]...),
				Suspects: known[index], Claims: owner, Announce: announce,
			}))
		}
		var answers []*answer
		for index := range 8 {
			answers = append(answers, ask(t.Context(), cells[index%2], cell.Request{
				ID: fmt.Sprint("copy", index), Fingerprint: 1000, MaxTokens: 40, Idempotent: true,
			}))
			// The first copy runs alone from 0.52 s to 0.62 s.
			time.Sleep(550 * time.Millisecond)
		}
		crashes := 0
		for _, answer := range answers {
			<-answer.ended
			require.True(t, fault.Is(answer.err, cell.Poison), answer.err)
		}
		for _, engine := range engines {
			crashes += engine.crashes
		}
		require.Equal(t, 2, crashes)
	})
}
