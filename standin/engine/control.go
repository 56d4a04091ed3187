package engine

import (
	"maps"
	"slices"
	"time"

	"primrosegw/core/fault"
)

// Load is an engine's load report.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"`
	// AgeMs is the report's age in milliseconds.
	AgeMs   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

// history keeps the load samples that are younger than the lag, and one older.
type history struct {
	lag     time.Duration
	samples []sample
}

// sample is the load at one instant.
type sample struct {
	at   time.Time
	load Load
}

// add appends a sample and drops those that no report shows any more.
func (history *history) add(load Load) {
	now := time.Now()
	history.samples = append(history.samples, sample{at: now, load: load})
	history.trim(now.Add(-history.lag))
}

// trim drops all samples before the last one that is not after an instant.
func (history *history) trim(instant time.Time) {
	first := 0
	for first+1 < len(history.samples) && !history.samples[first+1].at.After(instant) {
		first++
	}
	if first > 0 {
		history.samples = slices.Delete(history.samples, 0, first)
	}
}

// report returns the load as it was one lag ago.
func (history *history) report() Load {
	history.trim(time.Now().Add(-history.lag))
	load := history.samples[0].load
	load.AgeMs = history.lag.Milliseconds()
	return load
}

// sample records the current load. The mutex is held.
func (model *Model) sample() {
	tokens := 0
	for _, run := range model.running {
		tokens += run.task.promptTokens + run.produced
	}
	model.load.add(Load{
		Running: len(model.running), Waiting: len(model.waiting), Slots: model.options.Slots,
		KVUsed:  min(1, float64(tokens)/float64(model.options.KVTokens)),
		Leaving: model.leaving,
	})
}

// Load returns the lagging load report.
func (model *Model) Load() Load {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.load.report()
}

// Order is a change of what an engine has loaded.
type Order struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
}

// Loaded names one thing in an engine's memory.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// State is what an engine has loaded.
type State struct {
	Models   []Loaded `json:"models"`
	Adapters []Loaded `json:"adapters"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

// control is the part of an engine that orders change.
type control struct {
	any    bool
	loaded map[Loaded]bool
	role   string
	fence  int64
}

// newControl returns the state at the start.
func newControl(options Options) control {
	control := control{any: options.Model == "", loaded: map[Loaded]bool{}, role: "mixed"}
	if !control.any {
		control.loaded[Loaded{Model: options.Model, Version: options.Version}] = true
	}
	return control
}

// serves reports whether a call for a model or adapter can run. An empty
// version stands for any.
func (control *control) serves(name, version string) bool {
	if control.any {
		return true
	}
	for loaded := range control.loaded {
		named := loaded.Adapter == "" && loaded.Model == name || loaded.Adapter != "" && loaded.Adapter == name
		if named && (version == "" || loaded.Version == version) {
			return true
		}
	}
	return false
}

// Order carries out an order. Its errors are of kinds Stale and Invalid.
func (model *Model) Order(order Order) error {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if model.options.ChecksFence && order.Fence < model.control.fence {
		return fault.Field("engine.Order", Stale, "fence", "older than the last order's")
	}
	model.control.fence = order.Fence
	target := Loaded{Model: order.Model, Version: order.Version, Adapter: order.Adapter}
	switch order.Action {
	case "load":
		model.loadLater(target)
	case "unload":
		delete(model.control.loaded, target)
	case "role":
		model.control.role = order.Role
	default:
		return fault.Field("engine.Order", Invalid, "action", "not load, unload or role")
	}
	return nil
}

// loadLater loads after the engine's load time. The mutex is held.
func (model *Model) loadLater(target Loaded) {
	if model.options.LoadTime == 0 {
		model.control.loaded[target] = true
		return
	}
	time.AfterFunc(model.options.LoadTime, func() {
		model.mutex.Lock()
		defer model.mutex.Unlock()
		model.control.loaded[target] = true
	})
}

// State returns what is loaded, in a fixed order.
func (model *Model) State() State {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	state := State{Models: []Loaded{}, Adapters: []Loaded{}, Role: model.control.role, Fence: model.control.fence}
	for loaded := range model.control.loaded {
		if loaded.Adapter == "" {
			state.Models = append(state.Models, loaded)
		} else {
			state.Adapters = append(state.Adapters, loaded)
		}
	}
	slices.SortFunc(state.Models, compareLoaded)
	slices.SortFunc(state.Adapters, compareLoaded)
	return state
}

// compareLoaded orders by model, version and adapter.
func compareLoaded(a, b Loaded) int {
	return slices.Compare([]string{a.Model, a.Version, a.Adapter}, []string{b.Model, b.Version, b.Adapter})
}

// starts counts the runs that began, by request id and by idempotency key.
type starts struct {
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
}

// count books one start.
func (starts starts) count(id, key string) {
	if id != "" {
		starts.Requests[id]++
	}
	if key != "" {
		starts.Keys[key]++
	}
}

// Runs returns how often each request id and each idempotency key was started.
func (model *Model) Runs() (requests, keys map[string]int) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return maps.Clone(model.started.Requests), maps.Clone(model.started.Keys)
}
