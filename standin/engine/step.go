package engine

import (
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// Steps. The engine works as engines with continuous batching do: a step adds
// one token to each call of the batch whose prompt is processed, and processes
// a bounded chunk of prompt tokens for the others. Calls join and leave between
// steps. A step takes
//
//	factor * (base + per_call*(batch-1) + per_prompt_token*chunk)
//
// so that a larger batch gives more tokens a second, and each of its calls
// fewer. One timer runs for the whole engine, not one per call.

// beginStep fills the batch and starts the step's timer. The mutex is held.
func (model *Model) beginStep() {
	model.fill()
	if len(model.running) == 0 {
		model.ticking = false
		return
	}
	model.ticking = true
	epoch := model.epoch
	time.AfterFunc(model.plan(), func() { model.endStep(epoch) })
}

// fill moves calls from the waiting list into free slots.
func (model *Model) fill() {
	for len(model.running) < model.options.Slots && len(model.waiting) > 0 {
		run := model.waiting[0]
		model.waiting = model.waiting[1:]
		cached := model.cache.match(run.task.prefixes) * BlockTokens
		cached = min(cached, run.task.promptTokens-1)
		run.prefill = run.task.promptTokens - cached + run.produced
		model.stats.Cached += cached
		model.stats.Started++
		model.started.count(run.call.Request.ID, run.task.key)
		model.running = append(model.running, run)
	}
}

// plan shares out the step's prompt tokens and returns the step's duration.
func (model *Model) plan() time.Duration {
	budget := model.options.PrefillChunk
	for _, run := range model.running {
		run.chunk = min(budget, run.prefill)
		budget -= run.chunk
	}
	spent := model.options.PrefillChunk - budget
	duration := model.options.StepBase +
		time.Duration(len(model.running)-1)*model.options.StepPerCall +
		time.Duration(spent)*model.options.PrefillPerToken
	return time.Duration(float64(duration) * model.factor)
}

// endStep books the work of a step and begins the next one.
func (model *Model) endStep(epoch uint64) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if epoch != model.epoch {
		return
	}
	if model.frozen {
		model.ticking = false
		model.held = true
		return
	}
	model.finishStep()
}

// finishStep adds the step's tokens. The mutex is held.
func (model *Model) finishStep() {
	kept := model.running[:0]
	for _, run := range model.running {
		if model.advance(run) {
			if model.poisoned(run.task) {
				model.crash()
				return
			}
			kept = append(kept, run)
		}
	}
	clear(model.running[len(kept):])
	model.running = kept
	model.beginStep()
	model.sample()
}

// advance books one step of one call. It reports false when the call is done.
func (model *Model) advance(run *run) bool {
	if run.prefill > 0 {
		run.prefill -= run.chunk
		model.stats.Prefilled += run.chunk
		run.chunk = 0
		if run.prefill > 0 {
			return true
		}
		model.cache.store(run.task.prefixes)
	}
	if run.produced < run.task.length {
		run.produced++
		model.stats.Generated++
	}
	run.done = run.produced >= run.task.length && !model.poisoned(run.task)
	run.notify()
	return !run.done
}

// crash ends all calls and forgets the cache. The mutex is held.
func (model *Model) crash() {
	if model.down {
		return
	}
	model.down = true
	model.ticking = false
	model.held = false
	model.epoch++
	model.stats.Crashes++
	for _, run := range append(model.running, model.waiting...) {
		if !run.done {
			run.err = fault.New("engine.Generate", cell.Crashed, "engine "+model.options.Name+" crashed")
			run.notify()
		}
	}
	model.running, model.waiting = nil, nil
	model.cache.clear()
	model.sample()
	if model.options.RestartAfter > 0 {
		time.AfterFunc(model.options.RestartAfter, model.Restart)
	}
}

// Crash ends all calls with an error of kind Crashed; new calls are refused
// until Restart.
func (model *Model) Crash() {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.crash()
}

// Restart brings a crashed engine back with an empty cache.
func (model *Model) Restart() {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.down = false
	model.sample()
}

// Slow multiplies the duration of the steps that begin from now on.
func (model *Model) Slow(factor float64) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.factor = factor
}

// Freeze stops the steps, or lets them go on. A frozen engine accepts calls and
// answers its control endpoints.
func (model *Model) Freeze(frozen bool) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.frozen = frozen
	if !frozen && model.held {
		model.held = false
		model.finishStep()
	}
}

// Leave marks the engine as leaving in its load report. It goes on serving and
// counts the calls that still come (Stats.StartedLeaving).
func (model *Model) Leave() {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.leaving = true
	model.sample()
}
