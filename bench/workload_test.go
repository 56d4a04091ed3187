package bench_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosegw/core/cell"
	"primrosegw/standin/engine"
)

// The engines of all scenarios: a full batch takes 34 ms a step, below the
// target of 56 ms between tokens, and leaves room for prefill.
const (
	slots           = 8
	stepBase        = 20 * time.Millisecond
	stepPerCall     = 2 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	fullStep        = stepBase + (slots-1)*stepPerCall
	entryHosts      = 8
	workspaces      = 10
	// preambleTokens are shared by the calls of a workspace, ownTokens are not.
	preambleTokens = 128
	ownTokens      = 64
)

// role is what a class does in the scenarios.
type role int

// The roles: short calls of the top tier, a middle class, calls 30 times as
// long as the top tier's, and the lowest class of the second environment.
const (
	top role = iota
	middle
	long
	low
	roles
)

// class is a class of work.
type class struct {
	name     string
	role     role
	tier     int
	priority int
	// share is the minimum share of the dispatched tokens.
	share float64
	// shortest and longest bound the output in tokens.
	shortest, longest int
	firstToken        time.Duration
	between           time.Duration
	deadline          time.Duration
	// pools is the number of pools that get this class, the largest first.
	pools int
}

// cost returns the engine time that a mean call takes in a full batch.
func (class class) cost() time.Duration {
	tokens := time.Duration(class.shortest+class.longest) / 2
	return tokens*fullStep/slots + ownTokens*prefillPerToken
}

// pool is a group of engines with one model.
type pool struct {
	model   string
	engines int
}

// profile is an environment at the size of docs/design.md, section 1.2.
type profile struct {
	name    string
	domains []string
	// delay is the one-way delay between failure domains.
	delay   time.Duration
	pools   []pool
	classes []class
	// short are the classes that head_of_line measures.
	short []string
	// lowest is the class that starvation measures.
	lowest string
}

// clientDelay is the one-way delay between a caller and an entry host.
const clientDelay = 3 * time.Millisecond

// profiles returns the two environments.
func profiles() []profile {
	const token = 56 * time.Millisecond
	return []profile{
		{
			name: "a", delay: 1500 * time.Microsecond,
			domains: []string{"caxias", "bento", "farroupilha", "garibaldi"},
			pools:   []pool{{"sketch-model", 20}, {"observatory-ledger", 4}},
			classes: []class{
				{"reports", top, 1, 5, 0.3, 10, 30, 530 * time.Millisecond, token, 10 * time.Second, 2},
				{"questions", middle, 2, 4, 0.05, 15, 45, time.Second, token, 20 * time.Second, 2},
				{"plates", long, 5, 1, 0.25, 300, 900, 10 * time.Second, 4 * token, 2 * time.Minute, 1},
			},
			short: []string{"reports", "questions"}, lowest: "plates",
		},
		{
			name: "b", delay: time.Millisecond,
			domains: []string{"bilbao-a", "bilbao-b", "santander-a", "oviedo-a"},
			pools:   []pool{{"redactores", 10}, {"ventanilla", 4}},
			classes: []class{
				{"foremen", top, 1, 5, 0.3, 10, 30, 530 * time.Millisecond, token, 10 * time.Second, 2},
				{"drafts", middle, 2, 4, 0.05, 30, 90, 1500 * time.Millisecond, token, 20 * time.Second, 2},
				{"summaries", long, 4, 2, 0.1, 300, 900, 10 * time.Second, 4 * token, 2 * time.Minute, 1},
				{"complaints", low, 6, 0, 0.03, 15, 45, 10 * time.Second, 4 * token, time.Minute, 1},
			},
			short: []string{"foremen"}, lowest: "complaints",
		},
	}
}

// class returns a class by name.
func (profile profile) class(name string) class {
	return profile.classes[slices.IndexFunc(profile.classes, func(class class) bool { return class.name == name })]
}

// engines returns the number of engines of all pools.
func (profile profile) engines() int {
	total := 0
	for _, pool := range profile.pools {
		total += pool.engines
	}
	return total
}

// served returns the number of engines that a class may run on.
func (profile profile) served(class class) int {
	total := 0
	for _, pool := range profile.pools[:class.pools] {
		total += pool.engines
	}
	return total
}

// demand is the load of each role as a share of the capacity of all engines.
type demand [roles]float64

// scenario is a workload with its faults.
type scenario struct {
	name string
	// arrivals is the time in which calls arrive, horizon the end of the run.
	arrivals, horizon time.Duration
	// from and until bound the arrivals that count.
	from, until time.Duration
	// lag is the age of the engines' load reports.
	lag    time.Duration
	demand func(at time.Duration) demand
	// faults schedules the faults at the start of the run.
	faults func(fleet *fleet)
	// insist: callers of the lowest class come back when they are shed.
	insist bool
	// lowestShare: the lowest class asks for this part of its minimum share.
	lowestShare float64
	// poison: a caller sends a poisoned call again and again.
	poison bool
}

// steady returns a constant demand.
func steady(level demand) func(time.Duration) demand {
	return func(time.Duration) demand { return level }
}

// swing goes from a steady demand to twice the capacity within 2 s, stays there
// for 8 s and goes back. The top tier stays within the capacity.
func swing(at time.Duration) demand {
	const begin, rise, peak = 4 * time.Second, 2 * time.Second, 8 * time.Second
	calm, crest := demand{0.15, 0.15, 0.25, 0.05}, demand{0.4, 0.6, 0.8, 0.2}
	switch {
	case at < begin || at >= begin+rise+peak:
		return calm
	case at >= begin+rise:
		return crest
	}
	part := float64(at-begin) / float64(rise)
	for role := range crest {
		calm[role] += part * (crest[role] - calm[role])
	}
	return calm
}

// scenarios returns all workloads.
func scenarios() []scenario {
	const second = time.Second
	return []scenario{
		{name: "swing", arrivals: 18 * second, horizon: 22 * second, until: 18 * second, lag: second, demand: swing},
		{
			name: "head_of_line", arrivals: 16 * second, horizon: 18 * second, from: 5 * second, until: 16 * second, lag: second,
			demand: steady(demand{0.15, 0.15, 0.9, 0}),
		},
		{
			name: "slow_tail", arrivals: 16 * second, horizon: 18 * second, from: 4 * second, until: 16 * second, lag: 3 * second,
			demand: steady(demand{0.25, 0.15, 0.2, 0}), faults: slowSpells,
		},
		{
			name: "wasted_work", arrivals: 18 * second, horizon: 22 * second, until: 18 * second, lag: 3 * second,
			demand: swing, faults: crashes,
		},
		{
			name: "starvation", arrivals: 18 * second, horizon: 20 * second, until: 18 * second, lag: second,
			demand: steady(demand{0.4, 0.8, 0, 0}), insist: true, lowestShare: 0.25,
		},
		{
			name: "poison", arrivals: 14 * second, horizon: 15 * second, until: 14 * second, lag: second,
			demand: steady(demand{0.2, 0.2, 0.1, 0}), poison: true,
		},
	}
}

// slowSpells slows a fifth of the engines 5 times, then another fifth.
func slowSpells(fleet *fleet) {
	fleet.slow(0, 4*time.Second, 10*time.Second)
	fleet.slow(2, 10*time.Second, 16*time.Second)
}

// crashes slows a fifth of the engines and crashes a tenth at the crest.
func crashes(fleet *fleet) {
	fleet.slow(1, 7*time.Second, 13*time.Second)
	for i, model := range fleet.models() {
		if i%10 == 3 {
			time.AfterFunc(8*time.Second, model.Crash)
			time.AfterFunc(12*time.Second, model.Restart)
		}
	}
}

// arrival is one call of a workload.
type arrival struct {
	at        time.Duration
	class     class
	pool      int
	host      int
	workspace int
	prompt    string
	body      []byte
	tokens    int
}

// starvationBound returns the longest wait that the minimum share of the lowest
// class allows: four of its dispatches in the smallest cell of its pool. The
// share is a part of the dispatched tokens (core/cell Options.MinimumShares).
func starvationBound(profile profile) time.Duration {
	class := profile.class(profile.lowest)
	smallest := profile.pools[0].engines / len(profile.domains)
	tokensPerSecond := float64(smallest*slots) / fullStep.Seconds()
	perSecond := class.share * tokensPerSecond * 2 / float64(class.shortest+class.longest)
	return time.Duration(4 / perSecond * float64(time.Second))
}

// arrivalsOf returns the calls of a run, by time. They depend on the profile,
// the scenario and the seed only, so that all policies get the same calls.
func arrivalsOf(profile profile, scenario scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(profile.name+scenario.name)))
	var arrivals []arrival
	for _, class := range profile.classes {
		at := time.Duration(0)
		for {
			// Thinning: draws at the highest rate and keeps the share that the
			// demand of the moment asks for (Lewis and Shedler).
			highest := highestRate(profile, scenario, class)
			if highest == 0 {
				break
			}
			at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
			if at >= scenario.arrivals {
				break
			}
			if random.Float64()*highest < rateOf(profile, scenario, class, at) {
				arrivals = append(arrivals, newArrival(profile, class, at, random))
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// rateOf returns a class's calls per second.
func rateOf(profile profile, scenario scenario, class class, at time.Duration) float64 {
	if scenario.lowestShare > 0 && class.name == profile.lowest {
		cells := float64(len(profile.domains))
		return scenario.lowestShare * cells * 4 / starvationBound(profile).Seconds()
	}
	demand := scenario.demand(at)
	if class.role == long && profile.lowest == class.name {
		// Without a class of its own, the lowest role's work is long work.
		demand[long] += demand[low]
	}
	return demand[class.role] * float64(profile.engines()) / class.cost().Seconds()
}

// highestRate returns the highest rate of a class, sampled over the run.
func highestRate(profile profile, scenario scenario, class class) float64 {
	highest := 0.0
	for at := time.Duration(0); at < scenario.arrivals; at += time.Second {
		highest = max(highest, rateOf(profile, scenario, class, at))
	}
	return highest
}

// newArrival draws one call.
func newArrival(profile profile, class class, at time.Duration, random *rand.Rand) arrival {
	drawn := arrival{
		at: at, class: class, host: random.IntN(entryHosts), workspace: random.IntN(workspaces),
		tokens: class.shortest + random.IntN(class.longest-class.shortest+1),
	}
	engine := random.IntN(profile.served(class))
	for drawn.pool = 0; engine >= profile.pools[drawn.pool].engines; drawn.pool++ {
		engine -= profile.pools[drawn.pool].engines
	}
	drawn.setPrompt(fmt.Sprintf("%s %016x%016x", class.name, random.Uint64(), random.Uint64()))
	return drawn
}

// setPrompt builds the prompt from the workspace's preamble and an own part.
func (arrival *arrival) setPrompt(own string) {
	const bytesPerToken = 4
	preamble := strings.Repeat(fmt.Sprintf("w%02d ", arrival.workspace), preambleTokens)
	padding := strings.Repeat(".", max(0, ownTokens*bytesPerToken-len(own)))
	arrival.prompt = preamble + own + padding
	arrival.body, _ = json.Marshal(map[string]any{"prompt": arrival.prompt, "x_output_tokens": arrival.tokens})
}

// request returns the call as an entry host makes it from its class.
func (arrival *arrival) request(id string, profile profile) cell.Request {
	now := time.Now()
	class := arrival.class
	return cell.Request{
		ID: id, Workspace: fmt.Sprintf("w%02d", arrival.workspace), Class: class.name,
		Model: profile.pools[arrival.pool].model, Tier: class.tier, Priority: class.priority, Weight: 1,
		PromptTokens: preambleTokens + ownTokens, Prefixes: engine.Prefixes(arrival.prompt),
		Fingerprint: xxhash.Sum64(arrival.body), Idempotent: true,
		Arrived: now, Deadline: now.Add(class.deadline), FirstToken: now.Add(class.firstToken),
		Body: arrival.body,
	}
}
