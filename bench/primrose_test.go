package bench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/health"
	"primrosegw/core/host"
	"primrosegw/core/poison"
	"primrosegw/core/route"
	"primrosegw/standin/engine"
)

const (
	// gossipInterval is the time between two summaries of a cell inside its
	// failure domain (docs/design.md, section 2).
	gossipInterval = 500 * time.Millisecond
	// maximumTries bounds the cells that one call is sent to, as in io/daemon.
	maximumTries = 6
)

// primrose is the router under measurement: cells with one owner host each, and
// entry hosts that choose among them by what they have heard.
type primrose struct {
	fleet  *fleet
	router *route.Router
	hosts  [entryHosts]*entryHost
	// cells is indexed by pool.
	cells [][]*ownedCell
	audit *audit
}

// audit reads the cells' log for preemptions.
type audit struct {
	mutex sync.Mutex
	// all counts preemptions, top those of calls of the top tier.
	all, top int
}

// Write implements io.Writer for one log line.
func (audit *audit) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(event.CellPreempted().Name)) {
		return len(line), nil
	}
	var fields struct {
		Tier int `json:"tier"`
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return 0, err
	}
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	audit.all++
	if fields.Tier <= 1 {
		audit.top++
	}
	return len(line), nil
}

// ownedCell is a cell with its owner.
type ownedCell struct {
	*cell.Cell
	name    string
	domain  string
	owner   int
	engines []*engine.Model
	// sequences are the last cache events taken, by engine.
	sequences []uint64
}

// entryHost is one host: what it knows of cells, and its crash records.
type entryHost struct {
	host.Host
	suspects *poison.Registry
	mutex    sync.Mutex
	random   *rand.Rand
	known    map[string]knowledge
}

// knowledge is a summary with the time it came.
type knowledge struct {
	summary cell.Summary
	at      time.Time
}

// learn takes in a summary.
func (host *entryHost) learn(summary cell.Summary) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.known[summary.Cell] = knowledge{summary: summary, at: time.Now()}
}

// newPrimrose builds hosts and cells, and gossips until the context ends.
func newPrimrose(ctx context.Context, fleet *fleet, seed uint64, switches cell.Switches) *primrose {
	primrose := &primrose{fleet: fleet, router: route.New(route.Options{}), audit: &audit{}}
	domains := fleet.profile.domains
	var alive []host.Host
	for i := range primrose.hosts {
		described := host.Host{Name: string(rune('a' + i)), FailureDomain: domains[i%len(domains)], State: host.Alive}
		alive = append(alive, described)
		primrose.hosts[i] = &entryHost{
			Host: described, suspects: poison.New(poison.Options{}), known: map[string]knowledge{},
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
	}
	for pool := range fleet.pools {
		var cells []*ownedCell
		for index := range domains {
			cells = append(cells, primrose.newCell(ctx, pool, index, alive, switches))
		}
		primrose.cells = append(primrose.cells, cells)
	}
	go primrose.tick(ctx)
	return primrose
}

// newCell starts the cell of a pool's engines in one failure domain.
func (primrose *primrose) newCell(ctx context.Context, pool, index int, alive []host.Host, switches cell.Switches) *ownedCell {
	domain := primrose.fleet.profile.domains[index]
	owned := &ownedCell{
		name: primrose.fleet.profile.pools[pool].model + "/" + domain + "/0", domain: domain,
		engines: primrose.fleet.domain(pool, index),
	}
	owner, _ := host.Owner(owned.name, domain, alive)
	owned.owner = slices.Index(alive, owner)
	owned.sequences = make([]uint64, len(owned.engines))
	shares := map[string]float64{}
	for _, class := range primrose.fleet.profile.classes {
		shares[class.name] = class.share
	}
	owned.Cell = cell.New(cell.Options{
		Name: owned.name, Servers: servers(owned.engines), MinimumShares: shares, Switches: switches,
		Suspects: primrose.hosts[owned.owner].suspects, Claims: primrose,
		Logger:   event.New(primrose.audit, owned.name, logrus.InfoLevel, nil),
		Announce: func(records []poison.Record) { primrose.announce(ctx, owned.owner, records) },
	})
	return owned
}

// servers describes engines to a cell.
func servers(models []*engine.Model) []cell.Server {
	list := make([]cell.Server, len(models))
	for i, model := range models {
		list[i] = cell.Server{Name: model.Name(), Slots: slots, Backend: model}
	}
	return list
}

// claimant returns the host that grants the claims on a fingerprint.
func (primrose *primrose) claimant(fingerprint uint64) *entryHost {
	return primrose.hosts[fingerprint%entryHosts]
}

// Claim implements poison.Claims by a question to the fingerprint's owner.
func (primrose *primrose) Claim(ctx context.Context, fingerprint uint64, holder string, until time.Time) (poison.Grant, error) {
	time.Sleep(2 * primrose.fleet.profile.delay)
	return primrose.claimant(fingerprint).suspects.Claim(ctx, fingerprint, holder, until)
}

// Release implements poison.Claims.
func (primrose *primrose) Release(ctx context.Context, fingerprint uint64, holder string, result poison.RunResult) error {
	time.Sleep(2 * primrose.fleet.profile.delay)
	return primrose.claimant(fingerprint).suspects.Release(ctx, fingerprint, holder, result)
}

// announce hands crash records to the other hosts after the delay.
func (primrose *primrose) announce(ctx context.Context, from int, records []poison.Record) {
	go func() {
		if !sleep(ctx, primrose.fleet.profile.delay) {
			return
		}
		for i, host := range primrose.hosts {
			if i != from {
				host.suspects.Merge(records)
			}
		}
	}()
}

// tick gossips summaries and reads the engines' reports until the context ends,
// then closes the cells.
func (primrose *primrose) tick(ctx context.Context) {
	for {
		for _, cells := range primrose.cells {
			for _, owned := range cells {
				owned.read()
				primrose.gossip(owned)
			}
		}
		if !sleep(ctx, gossipInterval) {
			break
		}
	}
	for _, cells := range primrose.cells {
		for _, owned := range cells {
			owned.Close()
		}
	}
}

// read takes the engines' load reports and cache events.
func (owned *ownedCell) read() {
	for i, model := range owned.engines {
		load := model.Load()
		owned.ReportLoad(model.Name(), health.Load{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots,
			Age: time.Duration(load.AgeMs) * time.Millisecond, Leaving: load.Leaving,
		})
		for _, event := range model.CacheEvents(owned.sequences[i]) {
			owned.sequences[i] = event.Sequence
			if event.Kind == "stored" {
				owned.ApplyCacheEvents(model.Name(), event.Hashes, nil)
			} else {
				owned.ApplyCacheEvents(model.Name(), nil, event.Hashes)
			}
		}
	}
}

// gossip hands a cell's summary to the hosts of its failure domain.
func (primrose *primrose) gossip(owned *ownedCell) {
	summary := owned.Summary()
	for _, host := range primrose.hosts {
		if host.FailureDomain == owned.domain {
			host.learn(summary)
		}
	}
}

// serve implements router, with the rules of io/daemon: a call goes to one cell
// after another, with what the caller has already, until one ends it.
func (primrose *primrose) serve(ctx context.Context, entry, pool int, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	tried := map[string]bool{}
	tokens := 0
	take := func(chunk cell.Chunk) error {
		if chunk.Offset < tokens {
			return nil
		}
		tokens += chunk.Tokens
		return emit(chunk)
	}
	var outcome cell.Outcome
	var last error
	for range maximumTries {
		owned, err := primrose.choose(primrose.hosts[entry], pool, request, tried)
		if err != nil {
			if last == nil {
				last = fault.Wrap("bench.serve", cell.Refused, err)
			}
			return outcome, last
		}
		tried[owned.name] = true
		request.ResumeTokens = tokens
		outcome, last = primrose.forward(ctx, entry, owned, request, take)
		if last == nil || ctx.Err() != nil || !again(last) {
			return outcome, last
		}
	}
	return outcome, last
}

// again reports whether another cell may try.
func again(err error) bool {
	kind := fault.KindOf[cell.Kind](err)
	return slices.Contains([]cell.Kind{cell.Closed, cell.Refused, cell.Broken, cell.Crashed, cell.Stalled}, kind)
}

// forward runs a request at a cell's owner. The last frame of the answer carries
// the cell's summary.
func (primrose *primrose) forward(ctx context.Context, entry int, owned *ownedCell, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	host := primrose.hosts[entry]
	if host.FailureDomain != owned.domain {
		time.Sleep(primrose.fleet.profile.delay)
	}
	outcome, err := owned.Serve(ctx, request, emit)
	if primrose.hosts[owned.owner] != host {
		host.learn(owned.Summary())
	}
	return outcome, err
}

// choose picks a cell, after a probe when what is known of it is too old.
func (primrose *primrose) choose(entry *entryHost, pool int, request cell.Request, tried map[string]bool) (*ownedCell, error) {
	decision, err := primrose.pick(entry, pool, request, tried)
	if err == nil && decision.Probe {
		time.Sleep(2 * primrose.fleet.profile.delay)
		for _, owned := range primrose.cells[pool] {
			entry.learn(owned.Summary())
		}
		decision, err = primrose.pick(entry, pool, request, tried)
	}
	if err != nil {
		return nil, err
	}
	index := slices.IndexFunc(primrose.cells[pool], func(owned *ownedCell) bool { return owned.name == decision.Chosen.Cell })
	return primrose.cells[pool][index], nil
}

// pick lets core/route choose by what the host knows.
func (primrose *primrose) pick(entry *entryHost, pool int, request cell.Request, tried map[string]bool) (route.Decision, error) {
	var candidates []route.Candidate
	for _, owned := range primrose.cells[pool] {
		candidates = append(candidates, primrose.candidate(entry, owned, tried))
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return primrose.router.Choose(request, entry.FailureDomain, candidates, entry.random)
}

// candidate describes a cell as a host knows it. A host knows its own cells
// exactly.
func (primrose *primrose) candidate(entry *entryHost, owned *ownedCell, tried map[string]bool) route.Candidate {
	owner := primrose.hosts[owned.owner]
	candidate := route.Candidate{
		Cell: owned.name, FailureDomain: owned.domain, Owner: owner.Host, Failed: tried[owned.name],
	}
	if entry.FailureDomain != owned.domain {
		candidate.Delay = 2 * primrose.fleet.profile.delay
	}
	if owner == entry {
		candidate.Known, candidate.Summary = true, owned.Summary()
		return candidate
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if known, found := entry.known[owned.name]; found {
		candidate.Known, candidate.Summary, candidate.Age = true, known.summary, time.Since(known.at)
	}
	return candidate
}

// mechanism is a part of core/cell that can be switched off.
type mechanism struct {
	name     string
	switches cell.Switches
	// scenarios are the workloads that the mechanism is for.
	scenarios []string
}

// mechanisms returns those that the measures judge.
func mechanisms() []mechanism {
	return []mechanism{
		{"admission", cell.Switches{DisableAdmission: true}, []string{"swing"}},
		{"affinity", cell.Switches{DisableAffinity: true}, []string{"head_of_line"}},
		{"health", cell.Switches{DisableHealth: true}, []string{"slow_tail"}},
		{"hedge", cell.Switches{DisableHedge: true}, []string{"slow_tail"}},
		{"long_cap", cell.Switches{DisableLongCap: true}, []string{"head_of_line"}},
		{"minimum_share", cell.Switches{DisableMinimumShare: true}, []string{"starvation"}},
		{"poison", cell.Switches{DisablePoison: true}, []string{"poison", "wasted_work"}},
		{"preempt", cell.Switches{DisablePreempt: true}, []string{"swing", "head_of_line"}},
		{"resume", cell.Switches{DisableResume: true}, []string{"wasted_work"}},
	}
}
