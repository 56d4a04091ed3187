package place

import (
	"cmp"
	"math"
	"slices"

	"primrosegw/core/spec"
)

// plan is a plan in the making: the state with the effect of its orders so far.
type plan struct {
	options Options
	state   State
	pools   []demand
	servers []engine
	orders  []Order
	// loads is the number of loads that the weight store still allows.
	loads int
	// spread counts the servers of a pool, by its name, in a failure domain.
	spread map[[2]string]int
}

// demand is a pool with what it needs and has, in slots.
type demand struct {
	Pool
	// top is the need of the highest tier with demand, total that of all.
	top, total float64
	// topTier is the index of that tier, headroom the capacity per demand.
	topTier  int
	headroom float64
	// ready is the capacity that takes traffic, coming includes what loads.
	ready, coming float64
	// readyServers and comingServers count the same in servers.
	readyServers, comingServers int
	// smallest is the least slots of a ready server.
	smallest float64
}

// engine is a server with the pool that it serves, or nil, and whether the plan
// has an order for it.
type engine struct {
	Server
	pool    *demand
	ready   bool
	ordered bool
}

// newPlan computes what each pool needs and has.
func newPlan(options Options, state State) *plan {
	made := &plan{options: options, state: state, spread: make(map[[2]string]int)}
	for _, pool := range byName(state.Pools, func(pool Pool) string { return pool.Name }) {
		made.pools = append(made.pools, newDemand(pool, options.Headroom))
	}
	loading := 0
	for _, server := range byName(state.Servers, func(server Server) string { return server.Name }) {
		loading += server.AdaptersLoading
		if server.Loading {
			loading++
		}
		made.servers = append(made.servers, made.engine(server))
	}
	made.loads = max(0, min(state.Weights.Concurrent-loading, int(min(state.Weights.Tokens, math.MaxInt32))))
	return made
}

// newDemand computes a pool's needs.
func newDemand(pool Pool, headroom float64) demand {
	made := demand{Pool: pool, headroom: headroom}
	for tier, slots := range pool.Demand {
		if made.total == 0 {
			made.top, made.topTier = slots*headroom, tier
		}
		made.total += slots * headroom
	}
	if made.total > 0 {
		// A pool that lost all its servers, to a recall for instance, gets one
		// at once.
		made.MinimumServers = max(made.MinimumServers, 1)
	}
	return made
}

// engine finds the pool that a server serves and counts its capacity there.
func (plan *plan) engine(server Server) engine {
	made := engine{Server: server}
	for index := range plan.pools {
		pool := &plan.pools[index]
		if !plan.state.allowed(server, pool.Pool) {
			continue
		}
		made.pool = pool
		made.ready = plan.state.Ready(server, pool.Pool)
		if !server.Leaving {
			plan.join(pool, server, made.ready)
		}
		break
	}
	return made
}

// join counts a server in a pool.
func (plan *plan) join(pool *demand, server Server, ready bool) {
	pool.add(server, ready)
	plan.spread[[2]string{pool.Name, server.FailureDomain}]++
}

// add counts a server of the pool.
func (demand *demand) add(server Server, ready bool) {
	slots := float64(server.Slots)
	demand.coming += slots
	demand.comingServers++
	if !ready {
		return
	}
	if demand.readyServers == 0 || slots < demand.smallest {
		demand.smallest = slots
	}
	demand.ready += slots
	demand.readyServers++
}

// spare returns the number of ready servers that the demand of all tiers and
// MinimumServers leave over, counted with the smallest one.
func (demand *demand) spare() int {
	if demand.readyServers <= demand.MinimumServers || demand.smallest <= 0 {
		return 0
	}
	left := int(max(0, (demand.ready-demand.total)/demand.smallest))
	return min(left, demand.readyServers-demand.MinimumServers)
}

// takes reports whether a ready server may be taken out of service: the top tier
// keeps what it needs and the pool its minimum.
func (demand *demand) takes(server Server, minimum int) bool {
	return demand.ready-float64(server.Slots) >= demand.top && demand.readyServers-1 >= minimum
}

// through returns the need of the tiers down to the one of an index.
func (demand *demand) through(tier int) float64 {
	need := 0.0
	for _, slots := range demand.Demand[:tier+1] {
		need += slots * demand.headroom
	}
	return need
}

// order adds an order for a server.
func (plan *plan) order(engine *engine, order Order) {
	order.Server = engine.Name
	engine.ordered = true
	plan.orders = append(plan.orders, order)
}

// withdraw counts a server out of its pool, before its model is replaced.
func (plan *plan) withdraw(engine *engine) {
	if pool := engine.pool; pool != nil {
		plan.spread[[2]string{pool.Name, engine.FailureDomain}]--
		pool.coming -= float64(engine.Slots)
		pool.comingServers--
		if engine.ready {
			pool.ready -= float64(engine.Slots)
			pool.readyServers--
		}
	}
	engine.pool, engine.ready = nil, false
}

// unload orders away what is recalled or not allowed.
func (plan *plan) unload() {
	for _, wanted := range []Reason{Recalled, NotAllowed} {
		for index := range plan.servers {
			engine := &plan.servers[index]
			switch {
			case engine.ordered:
			case engine.Model != "" && engine.pool == nil:
				if plan.blame(engine.Server) == wanted {
					plan.order(engine, Order{Action: Unload, Model: engine.Model, Version: engine.Version, Reason: wanted})
				}
			case engine.pool != nil:
				plan.unloadAdapter(engine, wanted)
			}
		}
	}
}

// blame returns why a server's version may not run.
func (plan *plan) blame(server Server) Reason {
	for _, pool := range plan.pools {
		for _, version := range pool.Versions {
			if pool.Model == server.Model && version.Name == server.Version && plan.state.recalled(version.Lot) {
				return Recalled
			}
		}
	}
	return NotAllowed
}

// unloadAdapter orders away the first adapter that may not stay.
func (plan *plan) unloadAdapter(engine *engine, wanted Reason) {
	for _, adapter := range engine.Adapters {
		reason := NotAllowed
		if plan.state.recalled(adapter.Lot) {
			reason = Recalled
		}
		if reason == wanted && !plan.adapterAllowed(engine.pool.Pool, adapter) {
			plan.order(engine, Order{
				Action: Unload, Model: engine.Model, Version: adapter.Version, Adapter: adapter.Name, Reason: reason,
			})
			return
		}
	}
}

// adapterAllowed reports whether a pool's engines may have an adapter.
func (plan *plan) adapterAllowed(pool Pool, adapter spec.Adapter) bool {
	return slices.ContainsFunc(pool.Adapters, func(listed spec.Adapter) bool {
		return listed.Name == adapter.Name && listed.Version == adapter.Version && !plan.state.recalled(listed.Lot)
	})
}

// grow gives a pool servers until a shortage is met or nothing is left to give.
func (plan *plan) grow(pool *demand, reason Reason) {
	version, found := plan.state.preferred(pool.Pool)
	for found && plan.loads > 0 && plan.short(pool, reason) {
		engine := plan.source(pool, reason)
		if engine == nil {
			return
		}
		plan.withdraw(engine)
		plan.load(pool, engine, version, reason)
	}
}

// load orders a version for a server and counts it as coming.
func (plan *plan) load(pool *demand, engine *engine, version spec.Version, reason Reason) {
	plan.order(engine, Order{Action: Load, Model: pool.Model, Version: version.Name, Reason: reason})
	plan.loads--
	engine.pool = pool
	plan.join(pool, engine.Server, false)
}

// short reports whether a pool needs another server for a reason.
func (plan *plan) short(pool *demand, reason Reason) bool {
	trend, now := plan.state.Trends[pool.Name], plan.state.Now
	switch reason {
	case MinimumServers:
		return pool.comingServers < pool.MinimumServers
	case TopTierDemand:
		return pool.coming < pool.top && lasted(trend.TopShortSince, now, plan.options.Rise)
	default:
		return pool.coming < pool.total && lasted(trend.ShortSince, now, plan.options.Rise)
	}
}

// source returns the server that a pool should get, or nil: an empty one, or one
// that another pool can spare.
func (plan *plan) source(pool *demand, reason Reason) *engine {
	empty := plan.best(pool, func(engine *engine) bool { return engine.Model == "" })
	if empty != nil {
		return empty
	}
	return plan.best(pool, func(engine *engine) bool {
		return engine.ready && engine.pool != pool && plan.gives(engine, pool, reason)
	})
}

// gives reports whether a server's pool can give it to another. For a minimum or
// a top tier it is enough that the giving pool keeps what its own top tier, and
// all its tiers that are not below the receiving one, need.
func (plan *plan) gives(engine *engine, to *demand, reason Reason) bool {
	donor := engine.pool
	if !donor.takes(engine.Server, donor.MinimumServers) {
		return false
	}
	left := donor.ready - float64(engine.Slots)
	if reason == TopTierDemand || reason == MinimumServers {
		return left >= donor.through(to.topTier)
	}
	trend := plan.state.Trends[donor.Name]
	return donor.spare() > 0 && left >= donor.total && lasted(trend.SpareSince, plan.state.Now, plan.options.Fall)
}

// best returns the allowed server whose failure domain has the fewest servers of
// the pool and the most of the pool that it would leave; of those the least
// loaded. Servers that leave or have an order are not considered.
func (plan *plan) best(pool *demand, allowed func(*engine) bool) *engine {
	var best *engine
	for index := range plan.servers {
		engine := &plan.servers[index]
		usable := !engine.ordered && !engine.Leaving && !engine.Loading && slices.Contains(engine.Pools, pool.Name)
		if !usable || !allowed(engine) {
			continue
		}
		if best == nil || plan.compare(pool, engine, best) < 0 {
			best = engine
		}
	}
	return best
}

// compare orders two servers for a pool, the better one first.
func (plan *plan) compare(pool *demand, a, b *engine) int {
	return cmp.Or(
		cmp.Compare(plan.inDomain(pool, a.FailureDomain), plan.inDomain(pool, b.FailureDomain)),
		cmp.Compare(plan.inDomain(b.pool, b.FailureDomain), plan.inDomain(a.pool, a.FailureDomain)),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.Name, b.Name),
	)
}

// inDomain returns the number of servers of a pool in a failure domain.
func (plan *plan) inDomain(pool *demand, failureDomain string) int {
	if pool == nil {
		return 0
	}
	return plan.spread[[2]string{pool.Name, failureDomain}]
}

// upgrade changes servers over to the preferred version, the least loaded first
// and a part of the pool at a time, so that lower tiers keep most servers. A pool
// that has no server above its minimum changes over one at a time.
func (plan *plan) upgrade(pool *demand) {
	version, found := plan.state.preferred(pool.Pool)
	minimum := min(pool.MinimumServers, pool.comingServers-1)
	most := max(1, pool.comingServers/upgradePart)
	for found && plan.loads > 0 && pool.comingServers-pool.readyServers < most {
		engine := plan.leastLoaded(func(engine *engine) bool {
			return engine.pool == pool && engine.ready && engine.Version != version.Name && pool.takes(engine.Server, minimum)
		})
		if engine == nil {
			return
		}
		plan.withdraw(engine)
		plan.load(pool, engine, version, Preferred)
	}
}

// leastLoaded returns the server of least load for which a condition holds.
func (plan *plan) leastLoaded(allowed func(*engine) bool) *engine {
	var best *engine
	for index := range plan.servers {
		engine := &plan.servers[index]
		if engine.ordered || engine.Leaving || !allowed(engine) {
			continue
		}
		if best == nil || engine.Load < best.Load {
			best = engine
		}
	}
	return best
}

// replicate loads each adapter of a pool on enough servers, in failure domains
// that do not have it first. The servers stay in service.
func (plan *plan) replicate(pool *demand) {
	for _, adapter := range pool.Adapters {
		if plan.state.recalled(adapter.Lot) {
			continue
		}
		have := map[string]int{}
		count := 0
		for _, engine := range plan.servers {
			if engine.ready && engine.pool == pool && has(engine.Server, adapter) {
				have[engine.FailureDomain]++
				count++
			}
		}
		for count < min(plan.options.Replicas, pool.readyServers) && plan.loads > 0 {
			engine := plan.without(pool, adapter, have)
			if engine == nil {
				break
			}
			plan.order(engine, Order{
				Action: Load, Model: pool.Model, Version: adapter.Version, Adapter: adapter.Name, Reason: AdapterReplicas,
			})
			plan.loads--
			have[engine.FailureDomain]++
			count++
		}
	}
}

// without returns the ready server that should get an adapter, or nil.
func (plan *plan) without(pool *demand, adapter spec.Adapter, have map[string]int) *engine {
	var best *engine
	for index := range plan.servers {
		engine := &plan.servers[index]
		if engine.ordered || !engine.ready || engine.pool != pool || engine.AdaptersLoading > 0 || has(engine.Server, adapter) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(have[engine.FailureDomain], have[best.FailureDomain]),
			cmp.Compare(engine.Load, best.Load)) < 0 {
			best = engine
		}
	}
	return best
}

// has reports whether a server has loaded an adapter.
func has(server Server, adapter spec.Adapter) bool {
	return slices.ContainsFunc(server.Adapters, func(loaded spec.Adapter) bool {
		return loaded.Name == adapter.Name && loaded.Version == adapter.Version
	})
}

// assignRole moves one server towards the wanted number of prefill servers. It
// acts only on a difference of a whole server, so that a small change of the
// part of prompt work changes nothing.
func (plan *plan) assignRole(pool *demand) {
	wanted := 0.0
	if pool.readyServers >= smallestSplit {
		wanted = min(max(pool.PrefillPart, 0), 0.5) * float64(pool.readyServers)
	}
	prefill := 0
	for _, engine := range plan.servers {
		if engine.ready && engine.pool == pool && engine.Role == Prefill {
			prefill++
		}
	}
	from, role := Mixed, Prefill
	difference := wanted - float64(prefill)
	if difference < 0 {
		from, role = Prefill, Mixed
	}
	if math.Abs(difference) < 1 {
		return
	}
	engine := plan.leastLoaded(func(engine *engine) bool {
		return engine.pool == pool && engine.ready && cmp.Or(engine.Role, Mixed) == from
	})
	if engine != nil {
		plan.order(engine, Order{Action: SetRole, Model: engine.Model, Version: engine.Version, Role: role, Reason: PrefillShare})
	}
}
