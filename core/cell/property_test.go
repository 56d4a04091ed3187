package cell_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// faultSchedule is a random sequence of calls and faults.
type faultSchedule struct {
	engines int
	calls   []plannedCall
	faults  []plannedFault
}

type plannedCall struct {
	at      time.Duration
	request cell.Request
	// cancelAfter is when the caller cancels the call; 0 means never.
	cancelAfter time.Duration
}

type plannedFault struct {
	at       time.Duration
	engine   int
	kind     string
	duration time.Duration
}

// faultKinds returns the faults that can be injected into an engine or the
// server list.
func faultKinds() []string {
	return []string{"crash", "freeze", "cut", "refuse", "silent cut", "cross", "lose", "repeat", "leave"}
}

func drawSchedule(t *rapid.T) faultSchedule {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	plan := faultSchedule{engines: rapid.IntRange(1, 4).Draw(t, "engines")}
	for index := range rapid.IntRange(1, 30).Draw(t, "calls") {
		tier := rapid.IntRange(1, 4).Draw(t, "tier")
		call := plannedCall{at: ms("at", 3000), request: cell.Request{
			ID: fmt.Sprint("r", index), Tier: tier, Class: fmt.Sprint("class", tier),
			Workspace:   fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "workspace")),
			Fingerprint: uint64(rapid.IntRange(1, 40).Draw(t, "fingerprint")),
			MaxTokens:   rapid.IntRange(1, 60).Draw(t, "tokens"),
			Idempotent:  rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
		}}
		if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
			call.cancelAfter = ms("patience", 2000)
		}
		plan.calls = append(plan.calls, call)
	}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		plan.faults = append(plan.faults, plannedFault{
			at: ms("fault at", 4000), engine: rapid.IntRange(0, plan.engines-1).Draw(t, "engine"),
			kind: rapid.SampledFrom(faultKinds()).Draw(t, "kind"), duration: ms("lasts", 3000),
		})
	}
	return plan
}

// inject applies a fault and removes it after its duration.
func (planned plannedFault) inject(subject *cell.Cell, engine *engine, list []cell.Server) {
	time.Sleep(planned.at)
	switch planned.kind {
	case "crash":
		engine.crash(planned.duration + time.Millisecond)
		return
	case "freeze":
		engine.setFrozen(true)
		time.Sleep(planned.duration)
		engine.setFrozen(false)
		return
	case "leave":
		left := append([]cell.Server(nil), list...)
		left[planned.engine].Leaving = true
		subject.Update(left)
		time.Sleep(planned.duration)
		subject.Update(list)
		return
	}
	engine.setHooks(planned.beforeToken(), planned.rewriteChunk())
	time.Sleep(planned.duration)
	engine.setHooks(nil, nil)
}

// beforeToken returns the hook that the fault runs before each token.
func (planned plannedFault) beforeToken() func(cell.Call, int) error {
	kinds := map[string]cell.Kind{"cut": cell.Broken, "refuse": cell.Refused}
	kind, found := kinds[planned.kind]
	if !found {
		return nil
	}
	return func(call cell.Call, offset int) error {
		if kind == cell.Refused && offset > call.ResumeTokens {
			return nil
		}
		return fault.New("fake", kind, "injected")
	}
}

// rewriteChunk returns the hook that the fault applies to each chunk.
func (planned plannedFault) rewriteChunk() func(cell.Chunk) []cell.Chunk {
	return map[string]func(cell.Chunk) []cell.Chunk{
		"silent cut": func(chunk cell.Chunk) []cell.Chunk { chunk.FinishReason = ""; return []cell.Chunk{chunk} },
		"lose":       func(cell.Chunk) []cell.Chunk { return nil },
		"repeat":     func(chunk cell.Chunk) []cell.Chunk { return []cell.Chunk{chunk, chunk} },
		"cross": func(chunk cell.Chunk) []cell.Chunk {
			other := chunk
			other.Request, other.Text = "another", "another "
			return []cell.Chunk{other, chunk}
		},
	}[planned.kind]
}

// check verifies the answer and outcome that a caller received.
func (answer *answer) check(t *rapid.T, engines []*engine) {
	runs := 0
	for _, engine := range engines {
		runs += engine.runCount(answer.request.ID)
	}
	text, complete := answer.text.String(), completeAnswer(answer.request)
	if answer.err == nil {
		require.Equal(t, complete, text)
		require.Equal(t, cell.Ran, answer.outcome.Run)
		return
	}
	require.Less(t, len(text), len(complete)+1)
	require.Equal(t, complete[:len(text)], text, "the part before the error")
	switch answer.outcome.Run {
	case cell.NotRun:
		require.Empty(t, text)
		require.Zero(t, answer.startedRuns(engines), "not_run, but an engine ran it")
	case cell.Ran:
		require.Positive(t, runs)
	case cell.RunUnknown:
		require.Positive(t, answer.outcome.Attempts)
	}
	require.NotEmpty(t, fault.KindOf[cell.Kind](answer.err))
}

// startedRuns returns the number of runs that no engine refused.
func (answer *answer) startedRuns(engines []*engine) int {
	started := 0
	for _, engine := range engines {
		engine.mutex.Lock()
		started += engine.started[answer.request.ID]
		engine.mutex.Unlock()
	}
	return started
}

// Guards against mixed-up, truncated, repeated or doubly executed answers,
// against an incorrect run status, and against leaked slots, queued calls and
// goroutines, under random calls and faults.
func TestAnyScheduleOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawSchedule(rt)
		closes := rapid.IntRange(0, 4).Draw(rt, "closes") == 0
		synctest.Test(t, func(t *testing.T) { plan.run(t, rt, closes) })
	})
}

func (plan faultSchedule) run(t *testing.T, rt *rapid.T, closes bool) {
	engines := make([]*engine, plan.engines)
	for index := range engines {
		engines[index] = newEngine(firstToken, tokenGap)
	}
	list := servers(3, engines...)
	subject := cell.New(cell.Options{Servers: list, Capacity: 12, MinimumShares: map[string]float64{"class4": 0.1}})
	answers := make([]*answer, len(plan.calls))
	started := make(chan struct{})
	for index, call := range plan.calls {
		go func() {
			time.Sleep(call.at + time.Duration(index)*time.Microsecond)
			ctx, cancel := context.WithCancel(t.Context())
			call.request.FirstToken = time.Now().Add(time.Second)
			call.request.Deadline = time.Now().Add(time.Minute)
			answers[index] = startCall(ctx, subject, call.request)
			if call.cancelAfter > 0 {
				time.Sleep(call.cancelAfter)
				cancel()
			}
			started <- struct{}{}
			<-answers[index].ended
			cancel()
		}()
	}
	var faults sync.WaitGroup
	for index, planned := range plan.faults {
		planned.at += time.Duration(index) * time.Microsecond
		faults.Go(func() { planned.inject(subject, engines[planned.engine], list) })
	}
	if closes {
		faults.Go(func() {
			time.Sleep(2 * time.Second)
			subject.Close()
		})
	}
	for range plan.calls {
		<-started
	}
	for _, answer := range answers {
		<-answer.ended
	}
	faults.Wait()
	synctest.Wait()
	requireIdle(rt, subject)
	for _, answer := range answers {
		answer.check(rt, engines)
		if !answer.request.Idempotent {
			require.LessOrEqual(rt, answer.startedRuns(engines), 1, "not idempotent")
		}
	}
}
