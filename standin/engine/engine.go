// Package engine is the stand-in of a model engine: continuous batching on the
// runtime's clock, a limited prefix cache, lagging reports and injected faults.
package engine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/standin/framing"
)

// Options sets the size, the speed and the flaws of a Model. A zero field takes
// the default given with it.
type Options struct {
	// Name identifies the engine in errors and payloads.
	Name string
	// Model and Version are loaded at the start. With an empty Model the engine
	// runs calls for every model.
	Model, Version string
	// Slots is the largest batch; default 16.
	Slots int
	// MaxWaiting bounds the engine's own waiting list; default 256.
	MaxWaiting int
	// StepBase is the duration of a step with one call; default 18 ms.
	StepBase time.Duration
	// StepPerCall is added for each further call in the batch; default 1 ms.
	StepPerCall time.Duration
	// PrefillPerToken is added for each prompt token that a step processes;
	// default 100 us.
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens that one step processes; default
	// 128, which keeps a full step below the target of 56 ms between tokens.
	PrefillChunk int
	// KVTokens is the size of the KV memory in tokens; default 65536.
	KVTokens int
	// CacheBlocks bounds the prefix cache in blocks of BlockTokens; default 256.
	CacheBlocks int
	// LoadLag is the age of load reports; default 0.
	LoadLag time.Duration
	// CacheLag is the age at which cache events show; default 0.
	CacheLag time.Duration
	// CacheGap is the share of cache events that are lost; default 0.
	CacheGap float64
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// LoadTime is how long an order to load takes; default 0.
	LoadTime time.Duration
	// Poison is the marker in a prompt that crashes the engine; empty: none.
	Poison string
	// RestartAfter restarts a crashed engine by itself; 0: stays down.
	RestartAfter time.Duration
	// Payloads makes Generate fill Chunk.Data with the published JSON form.
	Payloads bool
	// Framing is how many answers have a length, chunks or neither; default: a third each.
	Framing framing.Shares
	// Seed decides which cache events are lost and how each answer is framed.
	Seed uint64
}

// withDefaults fills the zero fields.
func (options Options) withDefaults() Options {
	options.Slots = cmp.Or(options.Slots, 16)
	options.MaxWaiting = cmp.Or(options.MaxWaiting, 256)
	options.StepBase = cmp.Or(options.StepBase, 18*time.Millisecond)
	options.StepPerCall = cmp.Or(options.StepPerCall, time.Millisecond)
	options.PrefillPerToken = cmp.Or(options.PrefillPerToken, 100*time.Microsecond)
	options.PrefillChunk = cmp.Or(options.PrefillChunk, 128)
	options.KVTokens = cmp.Or(options.KVTokens, 65536)
	options.CacheBlocks = cmp.Or(options.CacheBlocks, 256)
	return options
}

// Model is an in-memory engine. It implements cell.Backend. It needs no
// goroutine of its own: a timer runs while there is work.
type Model struct {
	options  Options
	framings *framing.Source

	mutex   sync.Mutex
	running []*run
	waiting []*run
	arrived uint64
	// epoch tells the timer of a crashed engine from that of the restarted one.
	epoch   uint64
	ticking bool
	held    bool
	frozen  bool
	down    bool
	leaving bool
	factor  float64
	cache   cache
	load    history
	control control
	started starts
	stats   Stats
}

var _ cell.Backend = (*Model)(nil)

// Stats counts what an engine did since New.
type Stats struct {
	// Generated counts output tokens, delivered or not.
	Generated int `json:"generated"`
	// Prefilled counts prompt and resumed tokens that were processed.
	Prefilled int `json:"prefilled"`
	// Cached counts prompt tokens that the prefix cache saved.
	Cached int `json:"cached"`
	// Started counts calls that got a slot.
	Started int `json:"started"`
	// StartedLeaving counts calls accepted after Leave.
	StartedLeaving int `json:"started_leaving"`
	// Cancelled counts calls whose context ended before their answer.
	Cancelled int `json:"cancelled"`
	// Crashes counts crashes.
	Crashes int `json:"crashes"`
}

// run is one accepted call.
type run struct {
	call    cell.Call
	task    task
	arrival uint64
	// prefill is the number of tokens still to process before the first token.
	prefill int
	// chunk is the part of prefill that the current step processes.
	chunk int
	// produced counts answer tokens, those resumed from included.
	produced int
	done     bool
	err      error
	ready    chan struct{}
}

// notify wakes the goroutine that hands out the answer.
func (run *run) notify() {
	select {
	case run.ready <- struct{}{}:
	default:
	}
}

// New returns a running engine.
func New(options Options) *Model {
	options = options.withDefaults()
	random := rand.New(rand.NewPCG(options.Seed, 0x656e67696e65))
	model := &Model{
		options: options, framings: framing.NewSource(options.Framing, options.Seed),
		factor:  1,
		cache:   newCache(options, random),
		control: newControl(options),
		started: starts{Requests: map[string]int{}, Keys: map[string]int{}},
	}
	model.load.lag = options.LoadLag
	model.sample()
	return model
}

// Generate runs a call and hands each token to emit, then a last chunk without
// tokens that carries the reason for the end. Its errors have the kinds of
// cell.Backend.
func (model *Model) Generate(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error {
	return model.generate(ctx, call, "", emit)
}

// generate is Generate with the idempotency key that came with the call.
func (model *Model) generate(ctx context.Context, call cell.Call, key string, emit func(cell.Chunk) error) error {
	task, err := parseTask(call.Request.Body, call.Request.MaxTokens)
	if err != nil {
		return fault.Wrap("engine.Generate", cell.Rejected, err)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	task.key = key
	run, err := model.accept(call, task)
	if err != nil {
		return err
	}
	defer model.cancel(run)
	return model.deliver(ctx, run, emit)
}

// accept puts a call on the waiting list.
func (model *Model) accept(call cell.Call, task task) (*run, error) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	switch {
	case model.down:
		return nil, fault.New("engine.Generate", cell.Refused, "engine "+model.options.Name+" is down")
	case len(model.waiting) >= model.options.MaxWaiting:
		return nil, fault.New("engine.Generate", cell.Refused, "waiting list is full")
	case !model.control.serves(cmp.Or(call.Request.Model, task.model), cmp.Or(call.Version, task.version)):
		return nil, fault.Field("engine.Generate", cell.Refused, "model", "not loaded")
	}
	model.arrived++
	accepted := &run{
		call: call, task: task, arrival: model.arrived,
		produced: min(max(call.ResumeTokens, 0), task.length),
		ready:    make(chan struct{}, 1),
	}
	if model.leaving {
		model.stats.StartedLeaving++
	}
	at, _ := slices.BinarySearchFunc(model.waiting, accepted, beforeInQueue)
	model.waiting = slices.Insert(model.waiting, at, accepted)
	if !model.ticking && !model.held {
		model.beginStep()
	}
	model.sample()
	return accepted, nil
}

// beforeInQueue orders the waiting list: higher priority first, then by arrival.
func beforeInQueue(a, b *run) int {
	return cmp.Or(
		cmp.Compare(b.call.Request.Priority, a.call.Request.Priority),
		cmp.Compare(a.arrival, b.arrival),
	)
}

// deliver hands out tokens as the steps produce them.
func (model *Model) deliver(ctx context.Context, run *run, emit func(cell.Chunk) error) error {
	next := min(max(run.call.ResumeTokens, 0), run.task.length)
	for {
		model.mutex.Lock()
		produced, done, failed := run.produced, run.done, run.err
		model.mutex.Unlock()
		for ; next < produced; next++ {
			chunk := cell.Chunk{Offset: next, Tokens: 1, Text: run.task.word(next)}
			if err := model.hand(run, chunk, emit); err != nil {
				return err
			}
		}
		if failed != nil {
			return failed
		}
		if done {
			return model.hand(run, cell.Chunk{Offset: next, FinishReason: run.task.finish}, emit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-run.ready:
		}
	}
}

// hand emits one chunk, with its payload if the options ask for it.
func (model *Model) hand(run *run, chunk cell.Chunk, emit func(cell.Chunk) error) error {
	if model.options.Payloads {
		chunk.Data = payload(run.call, run.task, chunk)
	}
	return emit(chunk)
}

// cancel takes a call off the engine when its caller is done with it.
func (model *Model) cancel(run *run) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if run.done || run.err != nil {
		return
	}
	model.stats.Cancelled++
	model.running = remove(model.running, run)
	model.waiting = remove(model.waiting, run)
	model.sample()
}

// remove returns the list without one call.
func remove(list []*run, gone *run) []*run {
	return slices.DeleteFunc(list, func(run *run) bool { return run == gone })
}

// Stats returns the counts so far.
func (model *Model) Stats() Stats {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.stats
}

// Name returns the engine's name.
func (model *Model) Name() string { return model.options.Name }

// poisoned reports whether a task crashes the engine.
func (model *Model) poisoned(task task) bool {
	return model.options.Poison != "" && strings.Contains(task.prompt, model.options.Poison)
}
