package bench_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"primrosegw/core/cell"
	"primrosegw/standin/engine"
)

// summaryInterval is the time between two summaries of a cell (docs/design.md,
// section 2: gossip every 0.5 s).
const summaryInterval = 500 * time.Millisecond

// primrose is the router under measurement: a cell for each pool and failure
// domain, and entry hosts that choose among them by lagging summaries.
type primrose struct {
	fleet *fleet
	// cells is indexed by pool and failure domain.
	cells [][]*cell.Cell

	mutex     sync.Mutex
	random    *rand.Rand
	summaries [][]cell.Summary
}

// newPrimrose builds the cells and gossips their summaries until the context
// ends.
func newPrimrose(ctx context.Context, fleet *fleet, seed uint64, configure func(*cell.Options)) *primrose {
	primrose := &primrose{fleet: fleet, random: rand.New(rand.NewPCG(seed, 2))}
	for pool := range fleet.pools {
		var cells []*cell.Cell
		for domain, name := range fleet.profile.domains {
			options := cell.Options{
				Name:    fleet.profile.pools[pool].model + "/" + name,
				Servers: servers(fleet.domain(pool, domain)),
			}
			configure(&options)
			cells = append(cells, cell.New(options))
		}
		primrose.cells = append(primrose.cells, cells)
	}
	primrose.gossip()
	go primrose.gossipUntil(ctx)
	return primrose
}

// servers describes engines to a cell.
func servers(models []*engine.Model) []cell.Server {
	list := make([]cell.Server, len(models))
	for i, model := range models {
		list[i] = cell.Server{Name: model.Name(), Slots: slots, Backend: model}
	}
	return list
}

// gossipUntil spreads summaries until the context ends, then closes the cells.
func (primrose *primrose) gossipUntil(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, cells := range primrose.cells {
				for _, cell := range cells {
					cell.Close()
				}
			}
			return
		case <-ticker.C:
			primrose.gossip()
		}
	}
}

// gossip takes in the summaries of all cells.
func (primrose *primrose) gossip() {
	summaries := make([][]cell.Summary, len(primrose.cells))
	for pool, cells := range primrose.cells {
		for _, cell := range cells {
			summaries[pool] = append(summaries[pool], cell.Summary())
		}
	}
	primrose.mutex.Lock()
	defer primrose.mutex.Unlock()
	primrose.summaries = summaries
}

// choose returns the failure domain whose cell gets a call: the entry host's
// own while it has a free slot, else the better of two by estimated wait.
func (primrose *primrose) choose(host, pool, tier int) int {
	primrose.mutex.Lock()
	defer primrose.mutex.Unlock()
	summaries := primrose.summaries[pool]
	own := host % len(summaries)
	if summaries[own].Free > 0 {
		summaries[own].Free--
		return own
	}
	other := primrose.random.IntN(len(summaries))
	if summaries[other].Free > summaries[own].Free || summaries[other].WaitMs[tier-1] < summaries[own].WaitMs[tier-1] {
		summaries[other].Free--
		return other
	}
	return own
}

// serve implements router.
func (primrose *primrose) serve(ctx context.Context, host, pool int, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	domain := primrose.choose(host, pool, request.Tier)
	if domain != host%len(primrose.fleet.profile.domains) {
		time.Sleep(primrose.fleet.profile.delay)
	}
	return primrose.cells[pool][domain].Serve(ctx, request, emit)
}
