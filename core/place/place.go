// Package place decides which engines run which model, version, adapter and role
// as demand moves. It is pure: the same state gives the same orders.
package place

import (
	"cmp"
	"slices"
	"time"

	"primrosegw/core/spec"
)

// Action is what an order asks of an engine.
type Action string

// The actions of orders.
const (
	// Load replaces the engine's model or version, or adds an adapter.
	Load Action = "load"
	// Unload removes the model, or the adapter that the order names.
	Unload Action = "unload"
	// SetRole changes the part of the work that the engine does.
	SetRole Action = "role"
)

// Role is the part of the work that an engine does.
type Role string

// The roles of engines.
const (
	// Mixed engines process prompts and generate tokens.
	Mixed Role = "mixed"
	// Prefill engines process prompts and hand the KV cache on.
	Prefill Role = "prefill"
)

// Reason says by which rule an order was made, for log lines.
type Reason string

// The reasons of orders, the most urgent first.
const (
	// Recalled: the version is of a recalled lot.
	Recalled Reason = "recalled"
	// NotAllowed: the document does not list the version.
	NotAllowed Reason = "not_allowed"
	// MinimumServers: the pool has fewer servers than the document asks for.
	MinimumServers Reason = "minimum_servers"
	// TopTierDemand: the pool's top tier needs more than its servers give.
	TopTierDemand Reason = "top_tier_demand"
	// Demand: all tiers together need more than the pool's servers give.
	Demand Reason = "demand"
	// Preferred: a version that the document prefers replaces another.
	Preferred Reason = "preferred_version"
	// AdapterReplicas: too few servers have the adapter.
	AdapterReplicas Reason = "adapter_replicas"
	// PrefillShare: the part of prompt work has changed.
	PrefillShare Reason = "prefill_share"
)

// Order is a desired state of one engine. Carrying it out twice has no further
// effect.
type Order struct {
	Server  string
	Action  Action
	Model   string
	Version string
	// Adapter is empty for orders about the model itself.
	Adapter string
	Role    Role
	Reason  Reason
}

// ID identifies the desired state: an order that a later plan repeats has the
// same ID, whatever its reason.
func (order Order) ID() string {
	return string(order.Action) + " " + order.Server + " " + order.Model + "@" + order.Version +
		"+" + order.Adapter + " " + string(order.Role)
}

// Tiers is the number of tiers.
const Tiers = 6

// Pool is a pool of the document with its demand.
type Pool struct {
	Name  string
	Model string
	// Versions are allowed, the preferred one first.
	Versions       []spec.Version
	Adapters       []spec.Adapter
	MinimumServers int
	// Demand is the number of slots that each tier needs, running and queued;
	// index 0 is tier 1.
	Demand [Tiers]float64
	// PrefillPart is the part of the work that is prompt processing, when
	// engines of the pool can take that role; 0: all are mixed.
	PrefillPart float64
}

// Server is an engine as it reports itself.
type Server struct {
	Name          string
	FailureDomain string
	// Pools are the pools that the server may serve, its own first.
	Pools []string
	// Model and Version are loaded; both are empty if none is.
	Model   string
	Version string
	// Adapters are loaded besides the model.
	Adapters []spec.Adapter
	// Loading says that Model and Version are still being loaded, and
	// AdaptersLoading counts adapters that are.
	Loading         bool
	AdaptersLoading int
	Role            Role
	Slots           int
	// Load is the part of the slots in use.
	Load    float64
	Leaving bool
}

// Weights is what the weight store still allows.
type Weights struct {
	// Concurrent is the greatest number of loads at the same time.
	Concurrent int
	// Tokens is the number of loads that its rate allows now.
	Tokens float64
}

// Trend holds since when a pool has been short of servers or had one to spare;
// the zero time means that it is not.
type Trend struct {
	TopShortSince time.Time
	ShortSince    time.Time
	SpareSince    time.Time
}

// State is all that a plan depends on.
type State struct {
	Now     time.Time
	Pools   []Pool
	Servers []Server
	// RecalledLots are the lots whose versions and adapters must be gone.
	RecalledLots map[string]bool
	Weights      Weights
	// Trends are by pool, from Track.
	Trends map[string]Trend
}

// Options configures a planner. A zero field takes its default.
type Options struct {
	// Rise is how long demand must exceed the servers before more are loaded.
	Rise time.Duration
	// Fall is how long a server must be spare before another pool takes it.
	Fall time.Duration
	// Headroom is the capacity to keep per unit of demand.
	Headroom float64
	// Replicas is the number of servers that should have each adapter.
	Replicas int
}

// Defaults of Options.
const (
	// DefaultRise is longer than the swings that a queue can absorb.
	DefaultRise = 10 * time.Second
	// DefaultFall is longer than the load of a model takes, so that a pool does
	// not give a server away and load it again.
	DefaultFall = 2 * time.Minute
	// DefaultHeadroom keeps a tenth of the slots free.
	DefaultHeadroom = 1.1
	// DefaultReplicas survives the loss of one failure domain.
	DefaultReplicas = 2
	// smallestSplit is the number of servers from which a pool has separate
	// prefill servers.
	smallestSplit = 4
	// upgradePart is the divisor of a pool's servers that gives how many change
	// over to another version at the same time.
	upgradePart = 4
)

// Planner makes plans. It holds no state.
type Planner struct{ options Options }

// New returns a planner.
func New(options Options) *Planner {
	if options.Rise <= 0 {
		options.Rise = DefaultRise
	}
	if options.Fall <= 0 {
		options.Fall = DefaultFall
	}
	if options.Headroom < 1 {
		options.Headroom = DefaultHeadroom
	}
	if options.Replicas <= 0 {
		options.Replicas = DefaultReplicas
	}
	return &Planner{options: options}
}

// Ready reports whether a server may get traffic of a pool: it has finished
// loading a version that the document allows and that is not recalled. Recalled
// servers get none from the moment of the recall, before they are unloaded.
func (state State) Ready(server Server, pool Pool) bool {
	return !server.Leaving && !server.Loading && state.allowed(server, pool)
}

// allowed reports whether the server has, or is loading, an allowed version.
func (state State) allowed(server Server, pool Pool) bool {
	if server.Model != pool.Model || !slices.Contains(server.Pools, pool.Name) {
		return false
	}
	return slices.ContainsFunc(pool.Versions, func(version spec.Version) bool {
		return version.Name == server.Version && !state.recalled(version.Lot)
	})
}

// recalled reports whether a lot is recalled.
func (state State) recalled(lot string) bool { return lot != "" && state.RecalledLots[lot] }

// preferred returns the first allowed version of a pool.
func (state State) preferred(pool Pool) (spec.Version, bool) {
	for _, version := range pool.Versions {
		if !state.recalled(version.Lot) {
			return version, true
		}
	}
	return spec.Version{}, false
}

// Plan returns the orders that bring the engines closer to the demand, the most
// urgent first, and at most one order for each engine. The rules, in order:
//
//  1. Versions and adapters that are recalled or not allowed are unloaded,
//     whatever the demand.
//  2. Pools below MinimumServers, then pools short of slots for their top tier,
//     then for all tiers, get servers: empty ones first, then spare ones of
//     other pools. Shortages of slots must have lasted for Options.Rise; for
//     the demand of all tiers, a server must have been spare for Options.Fall.
//     A pool with demand counts as having a minimum of one server.
//  3. Servers on another allowed version than the preferred one change over, a
//     quarter of a pool at a time.
//  4. Adapters are loaded on Options.Replicas servers, and roles follow the
//     part of prompt work.
//
// Rules 2 to 4 load no more than the weight store allows, and take no ready
// server away if its pool's top tier would get less than it needs or the pool
// would fall below MinimumServers. Servers are taken and given so that each pool
// spreads over failure domains.
func (planner *Planner) Plan(state State) []Order {
	plan := newPlan(planner.options, state)
	plan.unload()
	for _, reason := range []Reason{MinimumServers, TopTierDemand, Demand} {
		for index := range plan.pools {
			plan.grow(&plan.pools[index], reason)
		}
	}
	for index := range plan.pools {
		plan.upgrade(&plan.pools[index])
	}
	for index := range plan.pools {
		plan.replicate(&plan.pools[index])
		plan.assignRole(&plan.pools[index])
	}
	return plan.orders
}

// Track returns the trends at state.Now from those before. Call it with each new
// state, and give its result to Plan in the same state. A new placer starts
// without trends, which only delays its orders.
func (planner *Planner) Track(state State, before map[string]Trend) map[string]Trend {
	plan := newPlan(planner.options, state)
	trends := make(map[string]Trend, len(plan.pools))
	for index := range plan.pools {
		pool, old := &plan.pools[index], before[plan.pools[index].Name]
		trends[pool.Name] = Trend{
			TopShortSince: since(pool.coming < pool.top, old.TopShortSince, state.Now),
			ShortSince:    since(pool.coming < pool.total, old.ShortSince, state.Now),
			SpareSince:    since(pool.spare() > 0, old.SpareSince, state.Now),
		}
	}
	return trends
}

// since keeps or starts the instant from which a condition has held.
func since(holds bool, before, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	default:
		return before
	}
}

// lasted reports whether a condition has held for long enough.
func lasted(since, now time.Time, needed time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= needed
}

// byName returns the pools and servers in the order of their names, so that a
// plan does not depend on the order in which they were reported.
func byName[T any](values []T, name func(T) string) []T {
	sorted := slices.Clone(values)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
