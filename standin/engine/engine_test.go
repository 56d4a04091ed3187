package engine_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/standin/engine"
)

// newCall returns a call whose answer has the given length.
func newCall(id, prompt string, tokens int) cell.Call {
	body, _ := json.Marshal(map[string]any{"model": "sketch", "prompt": prompt, "x_output_tokens": tokens})
	return cell.Call{Request: cell.Request{ID: id, Model: "sketch", Body: body}}
}

// answer is what one call brought.
type answer struct {
	text   string
	first  time.Duration
	whole  time.Duration
	offset int
	finish string
	err    error
}

// generate runs a call to its end.
func generate(ctx context.Context, model *engine.Model, call cell.Call) answer {
	begun := time.Now()
	got := answer{offset: -1}
	got.err = model.Generate(ctx, call, func(chunk cell.Chunk) error {
		if got.offset < 0 {
			got.offset = chunk.Offset
			got.first = time.Since(begun)
		}
		got.text += chunk.Text
		got.finish = chunk.FinishReason
		return nil
	})
	got.whole = time.Since(begun)
	return got
}

// all runs calls at once, a millisecond apart in the order given.
func all(model *engine.Model, calls ...cell.Call) []answer {
	answers := make([]answer, len(calls))
	var group sync.WaitGroup
	for i, call := range calls {
		group.Go(func() { answers[i] = generate(context.Background(), model, call) })
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	return answers
}

// Guards against answers that mix calls or depend on the batch.
func TestGenerateGivesEachCallItsOwnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{Slots: 3})
		calls := []cell.Call{newCall("a", "one", 10), newCall("b", "two", 20), newCall("c", "three", 5), newCall("d", "four", 7)}
		for i, got := range all(model, calls...) {
			want, _, err := engine.Answer(calls[i].Request.Body)
			require.NoError(t, err)
			require.NoError(t, got.err)
			assert.Equal(t, want, got.text)
			assert.Equal(t, "stop", got.finish)
		}
		assert.Equal(t, 42, model.Stats().Generated)
	})
}

// Guards against a bound of the answer that the engine ignores.
func TestGenerateStopsAtMaxTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := newCall("a", "one", 50)
		call.Request.MaxTokens = 8
		got := generate(t.Context(), engine.New(engine.Options{}), call)
		require.NoError(t, got.err)
		assert.Equal(t, "length", got.finish)
		assert.Len(t, strings.Fields(got.text), 8)
	})
}

// Guards against a speed that does not depend on the batch and the prompt.
func TestStepTakesLongerWithBatchAndPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := generate(t.Context(), engine.New(engine.Options{}), newCall("a", "one", 100))
		assert.Equal(t, 100*18*time.Millisecond+100*time.Microsecond, alone.whole)
		crowd := all(engine.New(engine.Options{}), newCall("a", "one", 100), newCall("b", "two", 100), newCall("c", "three", 100))
		assert.Greater(t, crowd[0].whole, alone.whole+150*time.Millisecond)
		long := generate(t.Context(), engine.New(engine.Options{}), newCall("a", strings.Repeat("long", 1000), 1))
		assert.Equal(t, 8*18*time.Millisecond+100*time.Millisecond, long.first)
	})
}

// Guards against a waiting list that ignores priorities.
func TestWaitingListGoesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{Slots: 1})
		low, high := newCall("low", "low", 10), newCall("high", "high", 10)
		high.Request.Priority = 5
		answers := all(model, newCall("first", "first", 10), low, high)
		assert.Less(t, answers[2].whole, answers[1].whole)
	})
}

// Guards against a resumed answer that repeats or skips tokens, or is free.
func TestResumePaysPrefillAndSkipsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{})
		call := newCall("a", "one", 300)
		whole := generate(t.Context(), model, call)
		call.ResumeTokens = 290
		before := model.Stats()
		rest := generate(t.Context(), model, call)
		require.NoError(t, rest.err)
		assert.Equal(t, 290, rest.offset)
		assert.True(t, strings.HasSuffix(whole.text, rest.text))
		assert.Len(t, strings.Fields(rest.text), 10)
		assert.Equal(t, 10, model.Stats().Generated-before.Generated)
		assert.Equal(t, 291, model.Stats().Prefilled-before.Prefilled)
	})
}

// Guards against a prefix cache that saves nothing or has no bound.
func TestPrefixCacheSavesPrefillUntilRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{CacheBlocks: 4, CacheLag: time.Second})
		prompt := strings.Repeat("a", 4*64*4)
		cold := generate(t.Context(), model, newCall("a", prompt, 1))
		warm := generate(t.Context(), model, newCall("b", prompt, 1))
		assert.Less(t, warm.first, cold.first)
		assert.Empty(t, model.CacheEvents(0), "events show late")
		generate(t.Context(), model, newCall("c", strings.Repeat("b", 4*64*4), 1))
		again := generate(t.Context(), model, newCall("d", prompt, 1))
		assert.Equal(t, cold.first, again.first)
		time.Sleep(time.Second)
		events := model.CacheEvents(0)
		assert.Equal(t, "stored", events[0].Kind)
		assert.ElementsMatch(t, engine.Prefixes(prompt), events[0].Hashes)
		assert.Equal(t, "removed", events[2].Kind)
		assert.Len(t, model.CacheEvents(events[0].Sequence), len(events)-1)
	})
}

// Guards against cache events without the gaps that engines have.
func TestCacheEventsHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{CacheGap: 0.5, Seed: 1})
		for _, letter := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			generate(t.Context(), model, newCall(letter, strings.Repeat(letter, 256), 1))
		}
		events := model.CacheEvents(0)
		assert.NotEmpty(t, events)
		assert.Less(t, len(events), 8)
	})
}

// Guards against a cancelled call that keeps its slot.
func TestCancelFreesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{Slots: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		got := generate(ctx, model, newCall("a", "one", 1000))
		require.ErrorIs(t, got.err, context.DeadlineExceeded)
		next := generate(t.Context(), model, newCall("b", "two", 5))
		require.NoError(t, next.err)
		assert.Less(t, next.whole, 200*time.Millisecond)
		assert.Equal(t, 1, model.Stats().Cancelled)
	})
}

// Guards against load reports without the lag that was asked for.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{LoadLag: 3 * time.Second})
		go generate(t.Context(), model, newCall("a", "one", 500))
		time.Sleep(2900 * time.Millisecond)
		assert.Equal(t, 0, model.Load().Running)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, engine.Load{Running: 1, Slots: 16, KVUsed: model.Load().KVUsed, AgeMs: 3000}, model.Load())
		time.Sleep(10 * time.Second)
		assert.Equal(t, 0, model.Load().Running)
	})
}

// Guards against faults that have no effect or do not end.
func TestSlowAndFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{})
		usual := generate(t.Context(), model, newCall("a", "one", 50))
		model.Slow(5)
		slow := generate(t.Context(), model, newCall("a", "one", 50))
		assert.InDelta(t, 5, float64(slow.whole)/float64(usual.whole), 0.01)
		model.Slow(1)
		model.Freeze(true)
		time.AfterFunc(10*time.Second, func() { model.Freeze(false) })
		frozen := generate(t.Context(), model, newCall("a", "one", 50))
		require.NoError(t, frozen.err)
		assert.Greater(t, frozen.whole, 10*time.Second)
		assert.Equal(t, usual.text, frozen.text)
	})
}

// Guards against a crash that loses calls without an error, and against a
// restart that brings nothing back.
func TestCrashEndsCallsAndRestartServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{Slots: 1})
		time.AfterFunc(time.Second, model.Crash)
		for _, got := range all(model, newCall("a", "one", 500), newCall("b", "two", 500)) {
			assert.True(t, fault.Is(got.err, cell.Crashed), "%v", got.err)
		}
		assert.True(t, fault.Is(generate(t.Context(), model, newCall("c", "three", 5)).err, cell.Refused))
		model.Restart()
		require.NoError(t, generate(t.Context(), model, newCall("d", "four", 5)).err)
		requests, _ := model.Runs()
		assert.Equal(t, map[string]int{"a": 1, "d": 1}, requests, "the waiting call never started")
	})
}

// Guards against a poisoned prompt that does no harm.
func TestPoisonCrashesAndEngineRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Options{Poison: "<poison>", RestartAfter: time.Second})
		answers := all(model, newCall("a", "harmless", 100), newCall("b", "a <poison> b", 5))
		assert.True(t, fault.Is(answers[0].err, cell.Crashed))
		assert.True(t, fault.Is(answers[1].err, cell.Crashed))
		time.Sleep(999 * time.Millisecond)
		assert.True(t, fault.Is(generate(t.Context(), model, newCall("c", "fine", 5)).err, cell.Refused))
		time.Sleep(2 * time.Millisecond)
		require.NoError(t, generate(t.Context(), model, newCall("d", "fine", 5)).err)
		assert.Equal(t, 1, model.Stats().Crashes)
	})
}

// Guards against orders that ignore fencing on engines that check it, and the
// other way round.
func TestOrdersAreFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checking := engine.New(engine.Options{Model: "sketch", Version: "1", ChecksFence: true, LoadTime: time.Second})
		trusting := engine.New(engine.Options{Model: "sketch", Version: "1"})
		load := engine.Order{Fence: 7, Model: "sketch", Version: "2", Action: "load"}
		unload := engine.Order{Fence: 5, Model: "sketch", Version: "2", Action: "unload"}
		for _, model := range []*engine.Model{checking, trusting} {
			require.NoError(t, model.Order(load))
		}
		assert.Len(t, checking.State().Models, 1, "loading takes its time")
		time.Sleep(2 * time.Second)
		assert.True(t, fault.Is(checking.Order(unload), engine.Stale))
		require.NoError(t, trusting.Order(unload))
		assert.Len(t, checking.State().Models, 2)
		assert.Len(t, trusting.State().Models, 1)
		call := newCall("a", "one", 5)
		call.Version = "2"
		require.NoError(t, generate(t.Context(), checking, call).err)
		assert.True(t, fault.Is(generate(t.Context(), trusting, call).err, cell.Refused))
	})
}
