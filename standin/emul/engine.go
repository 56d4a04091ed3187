package emul

import (
	"math/rand/v2"
	"slices"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/work"
)

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch, Queue the number of requests that wait.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// StepMs is the time of a step with an empty batch. Each request of the batch
	// adds SlotMs, and each thousand tokens of their contexts ContextMs.
	StepMs    float64 `json:"step_ms"`
	SlotMs    float64 `json:"slot_ms"`
	ContextMs float64 `json:"context_ms"`
	// TokensPerMs is the rate of reading prompts, Chunk the tokens read in a step
	// at most. PairsMs is the time for a million pairs of tokens that are related.
	TokensPerMs float64 `json:"tokens_per_ms"`
	Chunk       int     `json:"chunk"`
	PairsMs     float64 `json:"pairs_ms"`
	// FirstMs is the time before an engine begins with a request.
	FirstMs float64 `json:"first_ms"`
	// Stride is the number of tokens in an event.
	Stride int `json:"stride"`
	// Memory is the tokens of prompts and answers that fit.
	Memory int `json:"memory_tokens"`
}

// outcome is how a server ended a request.
type outcome string

const (
	whole    outcome = "whole"
	declined outcome = "declined"
	broken   outcome = "broken"
	failed   outcome = "failed"
	// unproven: nothing shows whether the answer is whole.
	unproven outcome = "unproven"
)

// task is a request at a server.
type task struct {
	request *work.Request
	// events is called with the number of each event, ended once.
	event func(number int)
	ended func(outcome outcome)
	// output is the number of tokens that will be generated.
	output int
	// loses: the answer breaks off at its end.
	loses bool
	work  time.Duration

	unread, read, produced, told int
	started                      uint64
	done                         bool
}

// finish ends a task once.
func (task *task) finish(outcome outcome) {
	if !task.done {
		task.done = true
		task.ended(outcome)
	}
}

// machine is what engines and plain servers have in common.
type machine struct {
	clock  *clock
	random *rand.Rand
	server fleet.Server
	// losing is the share of answers that the server loses at the moment.
	losing float64
	// speed is the usual slowness, noise what others on the machine add at the
	// moment, fault what an injected fault adds.
	speed, noise, fault float64
	// hidesSpeed: what the machine reports leaves speed and fault out.
	hidesSpeed bool
	down       bool
	// life counts restarts; what was scheduled in an earlier life does nothing.
	life uint64
}

func (machine *machine) base() *machine { return machine }

// slowness is how much longer work takes than at the service's norm.
func (machine *machine) slowness() float64 { return machine.speed * machine.noise * machine.fault }

// reportedSlowness is the slowness that the machine reports.
func (machine *machine) reportedSlowness() float64 {
	if machine.hidesSpeed {
		return machine.noise
	}
	return machine.slowness()
}

// loses draws whether the answer to the next request is lost.
func (machine *machine) loses() bool {
	return machine.losing > 0 && machine.random.Float64() < machine.losing
}

// engine is a model engine that works in steps: each one adds a token to the
// requests whose prompts are read and reads a chunk of the next prompt.
type engine struct {
	machine
	model   Engine
	waiting []*task
	running []*task
	cache   cache
	// generated is the tokens of running answers.
	generated int
	stepping  bool
	arrivals  uint64
	stats     Work
	// uses is when each shared part was last used on any engine.
	uses map[uint64]time.Duration
}

// againTime is how long after the last use of a part another prefill of it counts as avoidable.
const againTime = 6 * time.Second

// Work is what the engines of a day did.
type Work struct {
	Read   int `json:"prompt_tokens_read"`
	Cached int `json:"prompt_tokens_cached"`
	// Again is the tokens of shared parts that were read within againTime after their last use on
	// any engine.
	Again     int `json:"prompt_tokens_read_again"`
	Preempted int `json:"preempted"`
	// BusyMs is the time in which an engine worked on steps.
	BusyMs float64 `json:"-"`
}

func (engine *engine) submit(task *task) {
	if engine.down {
		task.finish(broken)
		return
	}
	if len(engine.waiting) >= engine.model.Queue || task.request.PromptTokens+task.output > engine.model.Memory {
		task.finish(declined)
		return
	}
	engine.arrivals++
	task.started = engine.arrivals
	life := engine.life
	engine.clock.after(milliseconds(engine.model.FirstMs), func() {
		if life == engine.life && !task.done {
			engine.queue(task)
			engine.step()
		}
	})
}

// queue puts a task behind those that are as urgent.
func (engine *engine) queue(added *task) {
	at, _ := slices.BinarySearchFunc(engine.waiting, added, func(waiting, added *task) int {
		if waiting.request.Rank != added.request.Rank {
			return waiting.request.Rank - added.request.Rank
		}
		return int(waiting.started) - int(added.started)
	})
	engine.waiting = slices.Insert(engine.waiting, at, added)
}

// cancel ends a task whose caller has gone.
func (engine *engine) cancel(task *task) {
	engine.waiting = without(engine.waiting, task)
	if slices.Contains(engine.running, task) {
		engine.leave(task)
	}
}

// fill takes waiting tasks into the batch while they fit the memory.
func (engine *engine) fill() {
	for len(engine.running) < engine.model.Slots && len(engine.waiting) > 0 {
		next := engine.waiting[0]
		cached := min(engine.cache.match(next.request.Parts), max(0, next.request.PromptTokens-1))
		engine.cache.hold(next.request.Parts, engine.clock.now)
		if !engine.cache.shrink(engine.model.Memory - engine.generated) {
			engine.cache.release(next.request.Parts, false, engine.clock.now)
			if !engine.preempt(next.request.Rank) {
				return
			}
			continue
		}
		engine.waiting = engine.waiting[1:]
		next.unread, next.read = next.request.PromptTokens-cached+next.produced, cached
		engine.stats.Cached += cached
		engine.countAgain(next.request.Parts, cached)
		engine.running = append(engine.running, next)
	}
}

// countAgain counts the shared parts of a prompt beyond the cached tokens that were used lately on
// any engine, and records their use.
func (engine *engine) countAgain(parts []work.Part, cached int) {
	for _, part := range parts[:max(0, len(parts)-1)] {
		cached -= part.Tokens
		used, known := engine.uses[part.ID]
		if cached < 0 && known && engine.clock.now-used < againTime {
			engine.stats.Again += part.Tokens
		}
		engine.uses[part.ID] = engine.clock.now
	}
}

// preempt puts the newest of the least urgent tasks back, if it is less urgent than
// a rank.
func (engine *engine) preempt(rank int) bool {
	var last *task
	for _, running := range engine.running {
		if last == nil || running.request.Rank > last.request.Rank ||
			running.request.Rank == last.request.Rank && running.started > last.started {
			last = running
		}
	}
	if last == nil || last.request.Rank <= rank {
		return false
	}
	engine.stats.Preempted++
	engine.leave(last)
	engine.queue(last)
	return true
}

// leave takes a task out of the batch.
func (engine *engine) leave(task *task) {
	engine.running = without(engine.running, task)
	engine.generated -= task.produced
	engine.cache.release(task.request.Parts, task.unread == 0, engine.clock.now)
}

// step begins a step unless one is under way.
func (engine *engine) step() {
	if engine.stepping || engine.down {
		return
	}
	engine.fill()
	if len(engine.running) == 0 {
		return
	}
	engine.stepping = true
	life := engine.life
	chunks, duration := engine.plan()
	engine.stats.BusyMs += duration.Seconds() * 1000
	engine.clock.after(duration, func() {
		if life == engine.life {
			engine.finish(chunks)
		}
	})
}

// plan shares out the step's prompt tokens, the most urgent prompts first, and
// returns them with the step's duration.
func (engine *engine) plan() (map[*task]int, time.Duration) {
	model := engine.model
	left, context, pairs := model.Chunk, 0, 0.0
	chunks := make(map[*task]int)
	byRank := slices.Clone(engine.running)
	slices.SortStableFunc(byRank, func(a, b *task) int { return a.request.Rank - b.request.Rank })
	for _, task := range byRank {
		context += task.read + task.produced
		if chunk := min(left, task.unread); chunk > 0 {
			chunks[task] = chunk
			left -= chunk
			pairs += float64(chunk) * (float64(task.read) + float64(chunk)/2)
		}
	}
	spent := float64(model.Chunk-left) / model.TokensPerMs
	spent += pairs / 1e6 * model.PairsMs
	spent += model.StepMs + model.SlotMs*float64(len(engine.running)) + model.ContextMs*float64(context)/1000
	return chunks, milliseconds(spent * engine.slowness())
}

// finish books a step and begins the next one.
func (engine *engine) finish(chunks map[*task]int) {
	engine.stepping = false
	for _, task := range slices.Clone(engine.running) {
		if task.done {
			continue
		}
		if chunk := chunks[task]; chunk > 0 {
			task.read += chunk
			task.unread -= chunk
			engine.stats.Read += chunk
		}
		if task.unread == 0 {
			engine.advance(task)
		}
	}
	engine.step()
}

// advance adds a token to a task.
func (engine *engine) advance(task *task) {
	task.produced++
	engine.generated++
	last := task.produced >= task.output
	if task.produced >= (task.told+1)*engine.model.Stride || last {
		task.told++
		if !(last && task.loses) {
			task.event(task.told)
		}
	}
	if !last {
		return
	}
	engine.leave(task)
	task.finish(task.result())
}

// crash breaks all answers and empties the cache.
func (engine *engine) crash() {
	engine.down = true
	engine.life++
	lost := append(slices.Clone(engine.waiting), engine.running...)
	engine.waiting, engine.running, engine.cache, engine.generated, engine.stepping = nil, nil, newCache(), 0, false
	for _, task := range lost {
		task.finish(broken)
	}
}

func (engine *engine) restart() { engine.down = false }

// load is what the engine says of itself.
func (engine *engine) load() fleet.Load {
	return fleet.Load{
		Running: len(engine.running), Waiting: len(engine.waiting), Slots: engine.model.Slots,
		Slowness: engine.reportedSlowness(), ReportedAt: engine.clock.time(),
	}
}

// truth is all requests at the engine, as a host would count its own.
func (engine *engine) truth() fleet.InFlight {
	var flight fleet.InFlight
	for _, task := range engine.running {
		flight.Running++
		flight.PrefillTokens[task.request.Rank] += task.unread
		if pick.DecodeHeavy(task.request) {
			flight.DecodeHeavy++
		}
	}
	for _, task := range engine.waiting {
		flight.Running++
		flight.PrefillTokens[task.request.Rank] += task.request.PromptTokens - engine.cache.match(task.request.Parts)
		if pick.DecodeHeavy(task.request) {
			flight.DecodeHeavy++
		}
	}
	return flight
}

func without(tasks []*task, gone *task) []*task {
	if at := slices.Index(tasks, gone); at >= 0 {
		return slices.Delete(tasks, at, at+1)
	}
	return tasks
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
