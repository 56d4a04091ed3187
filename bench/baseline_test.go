package bench_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/standin/engine"
)

// router is a policy under measurement.
type router interface {
	// serve runs a request that arrived at an entry host.
	serve(ctx context.Context, host int, pool int, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error)
}

// baseAttempts bounds the engines that a baseline tries for one call.
const baseAttempts = 3

// try runs a call on the engines that next names, until one takes it. A call
// that has no token yet is repeated after a crash, as common proxies do.
func try(ctx context.Context, next func() *engine.Model, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	var outcome cell.Outcome
	var err error
	for outcome.Attempts < baseAttempts {
		outcome.Attempts++
		err = next().Generate(ctx, cell.Call{Request: request, Attempt: outcome.Attempts}, func(chunk cell.Chunk) error {
			outcome.Tokens += chunk.Tokens
			return emit(chunk)
		})
		repeatable := fault.Is(err, cell.Refused) || fault.Is(err, cell.Crashed) && outcome.Tokens == 0
		if !repeatable {
			return outcome, err
		}
	}
	if fault.Is(err, cell.Refused) {
		err = fault.Wrap("bench.try", cell.Shed, err)
	}
	return outcome, err
}

// roundRobin sends calls to all engines of the pool in turn, each entry host by
// itself; engines run them in order of arrival.
type roundRobin struct {
	fleet *fleet
	mutex sync.Mutex
	turns [entryHosts][]int
}

// newRoundRobin returns the baseline round_robin_fifo.
func newRoundRobin(fleet *fleet) *roundRobin {
	robin := &roundRobin{fleet: fleet}
	for host := range robin.turns {
		robin.turns[host] = make([]int, len(fleet.pools))
		for pool, models := range fleet.pools {
			robin.turns[host][pool] = host * len(models) / entryHosts
		}
	}
	return robin
}

// next takes the host's turn.
func (robin *roundRobin) next(host, pool int) *engine.Model {
	robin.mutex.Lock()
	defer robin.mutex.Unlock()
	models := robin.fleet.pools[pool]
	robin.turns[host][pool]++
	return models[robin.turns[host][pool]%len(models)]
}

// serve implements router.
func (robin *roundRobin) serve(ctx context.Context, host, pool int, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	request.Priority = 0
	return try(ctx, func() *engine.Model { return robin.next(host, pool) }, request, emit)
}

// leastLoad sends each call to the engine with the least load by the last
// report. Engines get the class's priority.
type leastLoad struct {
	fleet  *fleet
	mutex  sync.Mutex
	random *rand.Rand
	loads  [][]float64
}

// reportInterval is the time between two reads of the load reports.
const reportInterval = 500 * time.Millisecond

// newLeastLoad returns the baseline least_reported_load; it reads the reports
// until the context ends.
func newLeastLoad(ctx context.Context, fleet *fleet, seed uint64) *leastLoad {
	least := &leastLoad{fleet: fleet, random: rand.New(rand.NewPCG(seed, 1))}
	least.read()
	go func() {
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				least.read()
			}
		}
	}()
	return least
}

// read takes in all load reports.
func (least *leastLoad) read() {
	loads := make([][]float64, len(least.fleet.pools))
	for pool, models := range least.fleet.pools {
		for _, model := range models {
			load := model.Load()
			loads[pool] = append(loads[pool], float64(load.Running+load.Waiting)/float64(load.Slots))
		}
	}
	least.mutex.Lock()
	defer least.mutex.Unlock()
	least.loads = loads
}

// next returns one of the engines with the least reported load.
func (least *leastLoad) next(pool int) *engine.Model {
	least.mutex.Lock()
	defer least.mutex.Unlock()
	best, ties := 0, 0
	for i, load := range least.loads[pool] {
		switch {
		case i == 0 || load < least.loads[pool][best]:
			best, ties = i, 1
		case load == least.loads[pool][best]:
			ties++
			if least.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return least.fleet.pools[pool][best]
}

// serve implements router.
func (least *leastLoad) serve(ctx context.Context, _, pool int, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	return try(ctx, func() *engine.Model { return least.next(pool) }, request, emit)
}
