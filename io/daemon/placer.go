package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"primrosegw/core/event"
	"primrosegw/core/host"
	"primrosegw/core/lease"
	"primrosegw/core/order"
	"primrosegw/core/place"
	"primrosegw/core/spec"
	"primrosegw/io/engine"

	"github.com/sirupsen/logrus"
)

const (
	// placersPerPool is the number of hosts that want the lease of a pool. Two
	// are enough for one to take over, and keep the calls to the service few.
	placersPerPool = 2
	// placeInterval is how often the holder of the lease plans.
	placeInterval = 2 * time.Second
	// placersPoll is how often a host looks whether it has become a candidate.
	placersPoll = time.Second
	// stateReaders bounds the engines that are asked at a time.
	stateReaders = 16
	// concurrentLoads is the number of engines that load at a time, so that the
	// weight store's rate is not used up by one pool.
	concurrentLoads = 2
)

// followPlacement takes part in the placement of the pools for which this host
// is among the first in rank.
func (daemon *Daemon) followPlacement(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	for pause(ctx, placersPoll) {
		wanted := make(map[string]bool)
		for _, pool := range daemon.directory.current.Load().Document.Pools {
			wanted[pool.Name] = daemon.placesPool(pool.Name)
		}
		for name, stop := range running {
			if !wanted[name] {
				stop()
				delete(running, name)
			}
		}
		for name, wants := range wanted {
			if _, found := running[name]; !wants || found {
				continue
			}
			placing, stop := context.WithCancel(ctx)
			running[name] = stop
			go daemon.placePool(placing, name)
		}
	}
	for _, stop := range running {
		stop()
	}
}

func (daemon *Daemon) placesPool(pool string) bool {
	ranked := host.Rank("placer/"+pool, daemon.members.Alive())
	for _, candidate := range ranked[:min(len(ranked), placersPerPool)] {
		if candidate.Name == daemon.self.Name {
			return true
		}
	}
	return false
}

// placer plans one pool while this host holds its lease.
type placer struct {
	daemon  *Daemon
	pool    string
	lease   *lease.Lease
	planner *place.Planner
	trends  map[string]place.Trend
}

// placePool wants the pool's lease and plans while it is held.
func (daemon *Daemon) placePool(ctx context.Context, pool string) {
	held, err := lease.New(lease.Options{
		Store: daemon.store, Key: "primrosegw/" + daemon.settings.Environment + "/placers/" + pool,
		Holder: daemon.self.Name, Logger: daemon.logger,
		Random: rand.New(rand.NewPCG(daemon.random.Uint64(), 1)),
	})
	if err != nil {
		return
	}
	placer := &placer{daemon: daemon, pool: pool, lease: held, planner: place.New(place.Options{})}
	released := make(chan struct{})
	go func() {
		defer close(released)
		held.Hold(ctx)
	}()
	for pause(ctx, placeInterval) {
		if held.Fence() != 0 {
			placer.plan(ctx)
		}
	}
	<-released
}

// plan reads the pool's engines, plans and gives the orders.
func (placer *placer) plan(ctx context.Context) {
	view := placer.daemon.directory.current.Load()
	servers := view.Servers(placer.pool)
	controls := make(engine.Controls, len(servers))
	for _, server := range servers {
		controls[server.Name] = engine.NewControl(server.Address, placer.daemon.controls)
	}
	states := placer.states(ctx, controls)
	position := slices.IndexFunc(view.Document.Pools, func(pool spec.Pool) bool { return pool.Name == placer.pool })
	if position < 0 {
		return
	}
	state := placer.state(view.Document.Pools[position], servers, states)
	placer.trends = placer.planner.Track(state, placer.trends)
	state.Trends = placer.trends
	orders := placer.planner.Plan(state)
	if len(orders) == 0 {
		return
	}
	executor, err := order.New(order.Options{Controller: controls, Lease: placer.lease, Logger: placer.daemon.logger})
	if err != nil {
		return
	}
	desired := make([]order.Desired, 0, len(orders))
	for _, given := range orders {
		placer.daemon.logger.Log(event.PlacementChosen(), logrus.Fields{
			"pool": placer.pool, "server": given.Server, "action": given.Action, "model": given.Model,
			"version": given.Version, "adapter": given.Adapter, "role": given.Role, "reason": given.Reason,
			"over": len(servers),
		})
		desired = append(desired, target(given, states[given.Server], servers))
	}
	executor.Reconcile(ctx, desired)
}

// states reads what the engines have loaded. Engines that do not answer are
// left out.
func (placer *placer) states(ctx context.Context, controls engine.Controls) map[string]order.State {
	type answer struct {
		name  string
		state order.State
	}
	answers := make(chan answer, len(controls))
	var group errgroup.Group
	group.SetLimit(stateReaders)
	for name, control := range controls {
		group.Go(func() error {
			if state, err := control.State(ctx); err == nil {
				answers <- answer{name, state}
			}
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	states := make(map[string]order.State, len(controls))
	for answer := range answers {
		states[answer.name] = answer.state
	}
	return states
}

// state puts together what a plan depends on. All demand counts as the top
// tier's: an owner's summary does not tell tiers apart, and this way loading
// never takes capacity that the top tier may need.
func (placer *placer) state(pool spec.Pool, servers []spec.BackendServer, states map[string]order.State) place.State {
	planned := place.Pool{
		Name: pool.Name, Model: pool.Model, Versions: pool.Versions, Adapters: pool.Adapters,
	}
	planned.Demand[0] = placer.demand()
	state := place.State{
		Now:     time.Now(),
		Weights: place.Weights{Concurrent: concurrentLoads, Tokens: concurrentLoads},
	}
	for _, server := range servers {
		if found, answered := states[server.Name]; answered {
			state.Servers = append(state.Servers, describeServer(server, found))
		}
	}
	planned.MinimumServers = minimum(pool, state.Servers)
	state.Pools = []place.Pool{planned}
	return state
}

// minimum is the number of servers that a pool keeps loaded. A server belongs to
// one pool, so an empty one is of use to nobody: while there are any, the
// minimum is all servers that are not leaving.
func minimum(pool spec.Pool, servers []place.Server) int {
	active, empty := 0, 0
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		active++
		if server.Model == "" {
			empty++
		}
	}
	if empty > 0 {
		return active
	}
	return pool.MinimumServers
}

// demand is the number of calls that run or wait in the pool's cells.
func (placer *placer) demand() float64 {
	demand := 0
	for name, plan := range placer.daemon.directory.current.Load().cells {
		if plan.Pool.Name != placer.pool {
			continue
		}
		summary, _, known := placer.daemon.loads.get(name)
		if own := placer.daemon.cells.summary(name); own.Cell != "" {
			summary, known = own, true
		}
		if known {
			demand += summary.Slots - summary.Free + summary.Queued
		}
	}
	return float64(demand)
}

// describeServer returns an engine as the planner sees it.
func describeServer(server spec.BackendServer, found order.State) place.Server {
	described := place.Server{
		Name: server.Name, FailureDomain: server.FailureDomain, Pools: []string{server.Pool},
		Slots: server.Slots, Leaving: server.Leaving, Role: place.Role(found.Role),
	}
	for _, loaded := range found.Loaded {
		if loaded.Adapter == "" {
			described.Model, described.Version = loaded.Model, loaded.Version
			continue
		}
		described.Adapters = append(described.Adapters, spec.Adapter{Name: loaded.Adapter, Version: loaded.Version})
	}
	return described
}

// target is the state that an engine should be in after an order.
func target(given place.Order, found order.State, servers []spec.BackendServer) order.Desired {
	desired := order.Desired{Server: given.Server, State: found}
	position := slices.IndexFunc(servers, func(server spec.BackendServer) bool { return server.Name == given.Server })
	desired.ChecksFence = position >= 0 && servers[position].ChecksFence
	named := order.Loaded{Model: given.Model, Version: given.Version, Adapter: given.Adapter}
	switch {
	case given.Action == place.SetRole:
		desired.State.Role = string(given.Role)
	case given.Action == place.Load && given.Adapter == "":
		desired.State.Loaded = []order.Loaded{named}
	case given.Action == place.Load:
		desired.State.Loaded = append(slices.Clone(found.Loaded), named)
	default:
		desired.State.Loaded = slices.DeleteFunc(slices.Clone(found.Loaded), func(loaded order.Loaded) bool {
			if given.Adapter == "" {
				return loaded.Model == given.Model && loaded.Version == given.Version
			}
			return loaded.Adapter == given.Adapter
		})
	}
	return desired
}
