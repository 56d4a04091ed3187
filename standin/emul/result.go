package emul

import (
	"slices"
	"time"

	"primrosegw/standin/framing"
)

// Result is what callers got on a day.
type Result struct {
	Day    string `json:"day"`
	Policy Policy `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Owed and Earned are sums of worth.
	Owed    float64       `json:"owed"`
	Earned  float64       `json:"earned"`
	Classes []ClassResult `json:"classes"`
	// Seconds is the worth by the second in which requests began.
	Seconds []Second `json:"seconds"`
	Engines Work     `json:"engines"`
	// Busiest is the time in which the busiest engine worked, relative to the mean.
	Busiest float64 `json:"busiest"`
	busyMs  []float64
	// Responses counts responses by phase and framing.
	Responses map[ResponseKey]*ResponseCount `json:"-"`
}

// ClassResult is what the callers of a class got.
type ClassResult struct {
	Name   string  `json:"name"`
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
	// Outcomes counts requests by how they ended: in_time, late, refused, failed,
	// stalled, gave_up.
	Outcomes map[string]int `json:"outcomes"`
	// FirstMs and PauseMs are sorted times to the first event and longest pauses of
	// answered requests.
	FirstMs []float64 `json:"-"`
	PauseMs []float64 `json:"-"`
}

// Second is the worth of the requests that began in one second.
type Second struct {
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
}

func newResult(day Day, policy Policy, seed uint64) *Result {
	result := &Result{Day: day.Name, Policy: policy, Seed: seed, Seconds: make([]Second, int(day.Seconds)+1), Responses: map[ResponseKey]*ResponseCount{}}
	for _, class := range day.Classes {
		result.Classes = append(result.Classes, ClassResult{Name: class.Name, Outcomes: map[string]int{}})
	}
	return result
}

// Worth is the share of the owed worth that was earned.
func (result *Result) Worth() float64 { return share(result.Earned, result.Owed) }

// Worst is the share earned in the worst seconds, taken together.
func (result *Result) Worst(seconds int) float64 {
	sorted := slices.DeleteFunc(slices.Clone(result.Seconds), func(second Second) bool { return second.Owed == 0 })
	slices.SortFunc(sorted, func(a, b Second) int {
		if share(a.Earned, a.Owed) < share(b.Earned, b.Owed) {
			return -1
		}
		return 1
	})
	owed, earned := 0.0, 0.0
	for _, second := range sorted[:min(seconds, len(sorted))] {
		owed += second.Owed
		earned += second.Earned
	}
	return share(earned, owed)
}

// Worth is the share of the class's owed worth that was earned.
func (class ClassResult) Worth() float64 { return share(class.Earned, class.Owed) }

// Requests is the number of the class's requests.
func (class ClassResult) Requests() int {
	requests := 0
	for _, count := range class.Outcomes {
		requests += count
	}
	return requests
}

// Share is the part of the class's requests that ended in a way.
func (class ClassResult) Share(outcome string) float64 {
	return share(float64(class.Outcomes[outcome]), float64(class.Requests()))
}

// Quantile returns a quantile of sorted values, 0 if there are none.
func Quantile(sorted []float64, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

func share(part, all float64) float64 {
	if all == 0 {
		return 0
	}
	return part / all
}

func (result *Result) of(class *Class) *ClassResult {
	index := slices.IndexFunc(result.Classes, func(known ClassResult) bool { return known.Name == class.Name })
	return &result.Classes[index]
}

// response returns the counts of a phase and a framing.
func (result *Result) response(phase Phase, framing framing.Framing) *ResponseCount {
	key := ResponseKey{phase, framing}
	if result.Responses[key] == nil {
		result.Responses[key] = &ResponseCount{}
	}
	return result.Responses[key]
}

func (result *Result) owed(class *Class, worth float64) {
	result.Owed += worth
	result.of(class).Owed += worth
}

func (result *Result) ended(caller *caller, outcome string) {
	class := result.of(caller.class)
	class.Outcomes[outcome]++
	earned := 0.0
	switch outcome {
	case "in_time":
		earned = caller.worth
	case "late":
		earned = caller.worth * caller.class.LateWorth / caller.class.Worth
	}
	result.Earned += earned
	class.Earned += earned
	second := &result.Seconds[min(len(result.Seconds)-1, int(caller.began/time.Second))]
	second.Owed += caller.worth
	second.Earned += earned
	if outcome == "in_time" || outcome == "late" {
		class.FirstMs = insert(class.FirstMs, caller.first)
		class.PauseMs = insert(class.PauseMs, caller.longest)
	}
}

// insert adds a time to sorted milliseconds.
func insert(sorted []float64, added time.Duration) []float64 {
	value := added.Seconds() * 1000
	at, _ := slices.BinarySearch(sorted, value)
	return slices.Insert(sorted, at, value)
}

func (result *Result) add(work Work) {
	result.Engines.Read += work.Read
	result.Engines.Cached += work.Cached
	result.Engines.Again += work.Again
	result.Engines.Preempted += work.Preempted
	result.busyMs = append(result.busyMs, work.BusyMs)
	sum := 0.0
	for _, busy := range result.busyMs {
		sum += busy
	}
	if sum > 0 {
		result.Busiest = slices.Max(result.busyMs) / sum * float64(len(result.busyMs))
	}
}
