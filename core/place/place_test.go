package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/place"
	"primrosegw/core/spec"
)

// now is the instant of the tests' plans.
var now = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// server returns a ready server of 8 slots that may serve the pools sketch and
// ledger. An empty version stands for an empty server.
func server(name, failureDomain, model, version string) place.Server {
	if version == "" {
		model = ""
	}
	return place.Server{
		Name: name, FailureDomain: failureDomain, Pools: []string{"sketch", "ledger"},
		Model: model, Version: version, Role: place.Mixed, Slots: 8,
	}
}

// state returns a state of the pools sketch and ledger with ample weights, and
// trends that have lasted for an hour.
func state(servers ...place.Server) place.State {
	long := now.Add(-time.Hour)
	trend := place.Trend{TopShortSince: long, ShortSince: long, SpareSince: long}
	return place.State{
		Now: now, Servers: servers,
		Pools: []place.Pool{
			{Name: "sketch", Model: "sketch", Versions: []spec.Version{{Name: "v2", Lot: "l2"}, {Name: "v1", Lot: "l1"}}},
			{Name: "ledger", Model: "ledger", Versions: []spec.Version{{Name: "v1", Lot: "l9"}}},
		},
		RecalledLots: map[string]bool{},
		Weights:      place.Weights{Concurrent: 10, Tokens: 10},
		Trends:       map[string]place.Trend{"sketch": trend, "ledger": trend},
	}
}

// brief writes the orders in short: "action server model@version+adapter reason".
func brief(orders []place.Order) []string {
	var lines []string
	for _, order := range orders {
		what := order.Model + "@" + order.Version
		if order.Adapter != "" {
			what += "+" + order.Adapter
		}
		if order.Role != "" {
			what += "/" + string(order.Role)
		}
		lines = append(lines, fmt.Sprintf("%s %s %s %s", order.Action, order.Server, what, order.Reason))
	}
	return lines
}

// planCase is a change of a state and the orders that it must lead to.
type planCase struct {
	name   string
	state  place.State
	change func(*place.State)
	want   []string
}

// run makes the plan of each case.
func run(t *testing.T, cases []planCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.change(&test.state)
			require.Equal(t, test.want, brief(place.New(place.Options{}).Plan(test.state)))
		})
	}
}

// TestPlanDemand guards against servers that are loaded too early, too many at
// once, or taken from work that needs them more.
func TestPlanDemand(t *testing.T) {
	empty := func(name, domain string) place.Server { return server(name, domain, "", "") }
	sketch := func(name, domain string) place.Server { return server(name, domain, "sketch", "v2") }
	ledger := func(name, domain string) place.Server { return server(name, domain, "ledger", "v1") }
	run(t, []planCase{
		{"nothing to do", state(sketch("a", "x"), empty("b", "y")), func(*place.State) {}, nil},
		{"recalled versions go first, then others that are not allowed", state(server("a", "x", "ledger", "old"), sketch("b", "x")), func(state *place.State) {
			state.RecalledLots["l2"] = true
			state.Pools[0].Demand[0] = 100
		}, []string{"unload b sketch@v2 recalled", "unload a ledger@old not_allowed"}},
		{"a recalled version is not loaded", state(empty("a", "x")), func(state *place.State) {
			state.RecalledLots["l2"] = true
			state.Pools[0].MinimumServers = 1
		}, []string{"load a sketch@v1 minimum_servers"}},
		{"minimum servers without delay", state(empty("a", "x"), empty("b", "x")), func(state *place.State) {
			state.Pools[0].MinimumServers = 1
			state.Trends = nil
		}, []string{"load a sketch@v2 minimum_servers"}},
		{"demand must last", state(sketch("a", "x"), empty("b", "x")), func(state *place.State) {
			state.Pools[0].Demand[3] = 12
			state.Trends["sketch"] = place.Trend{ShortSince: now.Add(-place.DefaultRise + 1)}
		}, nil},
		{"demand that lasted", state(sketch("a", "x"), empty("b", "x")), func(state *place.State) {
			state.Pools[0].Demand[3] = 12
			state.Trends["sketch"] = place.Trend{ShortSince: now.Add(-place.DefaultRise)}
		}, []string{"load b sketch@v2 demand"}},
		{"what loads already counts", state(sketch("a", "x"), loading(sketch("b", "x")), empty("c", "x")), func(state *place.State) {
			state.Pools[0].Demand[3] = 12
		}, nil},
		{"the other failure domain first", state(sketch("a", "x"), empty("b", "x"), empty("c", "y")), func(state *place.State) {
			state.Pools[0].Demand[0] = 10
		}, []string{"load c sketch@v2 top_tier_demand"}},
		{"the weight store's concurrent loads", state(loading(sketch("a", "x")), empty("b", "x"), empty("c", "y")), func(state *place.State) {
			state.Pools[0].MinimumServers = 3
			state.Weights.Concurrent = 2
		}, []string{"load c sketch@v2 minimum_servers"}},
		{"the weight store's rate", state(empty("b", "x"), empty("c", "y")), func(state *place.State) {
			state.Pools[0].MinimumServers = 3
			state.Weights.Tokens = 1.9
		}, []string{"load b sketch@v2 minimum_servers"}},
		{"a spare server of another pool", state(sketch("a", "x"), ledger("b", "x"), ledger("c", "y")), func(state *place.State) {
			state.Pools[0].Demand = [place.Tiers]float64{1, 0, 0, 12}
			state.Pools[1].Demand[3] = 2
		}, []string{"load c sketch@v2 demand"}},
		{"not one so large that the other pool runs short", state(sketch("a", "x"), ledger("b", "y"), small(ledger("c", "x"))), func(state *place.State) {
			state.Pools[0].Demand = [place.Tiers]float64{1, 0, 0, 12}
			state.Pools[1].Demand = [place.Tiers]float64{1, 0, 0, 5}
		}, []string{"load c sketch@v2 demand"}},
		{"each failure domain of the other pool in turn", state(sketch("s", "y"), ledger("a", "x"), ledger("b", "x"), ledger("c", "y"), ledger("d", "y")), func(state *place.State) {
			state.Pools[0].Demand = [place.Tiers]float64{1, 0, 0, 20}
			state.Pools[1].Demand[3] = 2
		}, []string{"load a sketch@v2 demand", "load c sketch@v2 demand"}},
		{"what a pool gave away in this plan no longer counts", state(ledger("b", "x"), ledger("c", "x"), only(empty("e", "x"), "ledger")), func(state *place.State) {
			state.Pools[0].Demand[0] = 1
			state.Pools[1].Demand = [place.Tiers]float64{1, 0, 0, 12}
		}, []string{"load b sketch@v2 minimum_servers", "load e ledger@v1 demand"}},
		{"a pool without servers gets one at once", state(empty("a", "x"), empty("b", "x")), func(state *place.State) {
			state.Pools[0].Demand[3] = 30
			state.Trends = nil
		}, []string{"load a sketch@v2 minimum_servers"}},
		{"not one that was spare for a short time", state(sketch("a", "x"), ledger("b", "x"), ledger("c", "y")), func(state *place.State) {
			state.Pools[0].Demand = [place.Tiers]float64{1, 0, 0, 12}
			state.Trends["ledger"] = place.Trend{SpareSince: now.Add(-time.Minute)}
		}, nil},
		{"a top tier takes from the lower tiers of another pool", state(sketch("a", "x"), ledger("b", "x"), ledger("c", "y")), func(state *place.State) {
			state.Pools[0].Demand[0] = 12
			state.Pools[1].Demand = [place.Tiers]float64{5, 0, 10}
		}, []string{"load c sketch@v2 top_tier_demand"}},
		{"but not from its top tier", state(sketch("a", "x"), ledger("b", "x"), ledger("c", "y")), func(state *place.State) {
			state.Pools[0].Demand[0] = 12
			state.Pools[1].Demand[0] = 8
		}, nil},
		{"nor a low tier from a higher one", state(sketch("a", "x"), ledger("b", "x"), ledger("c", "y")), func(state *place.State) {
			state.Pools[0].Demand[3] = 12
			state.Pools[1].Demand = [place.Tiers]float64{1, 0, 10}
		}, nil},
		{"nor below its minimum", state(sketch("a", "x"), ledger("b", "x"), ledger("c", "y")), func(state *place.State) {
			state.Pools[0].Demand[0] = 12
			state.Pools[1].MinimumServers = 2
		}, nil},
	})
}

// TestPlanVersions guards against versions, adapters and roles that stay behind
// the document, and against changes of version that starve the top tier.
func TestPlanVersions(t *testing.T) {
	empty := func(name, domain string) place.Server { return server(name, domain, "", "") }
	sketch := func(name, domain string) place.Server { return server(name, domain, "sketch", "v2") }
	run(t, []planCase{
		{"the preferred version, one at a time", state(server("a", "x", "sketch", "v1"), server("b", "x", "sketch", "v1")), func(state *place.State) {
			state.Pools[0].Demand[0] = 5
			state.Pools[0].MinimumServers = 2
		}, []string{"load a sketch@v2 preferred_version"}},
		{"no change of version that the top tier needs", state(server("a", "x", "sketch", "v1"), server("b", "x", "sketch", "v1")), func(state *place.State) {
			state.Pools[0].Demand[0] = 8
		}, nil},
		{"leaving servers get nothing", state(leaving(empty("a", "x"))), func(state *place.State) {
			state.Pools[0].MinimumServers = 1
		}, nil},
		{"adapters on two failure domains", state(sketch("a", "x"), sketch("b", "x"), sketch("c", "y")), func(state *place.State) {
			state.Pools[0].Adapters = []spec.Adapter{{Name: "fine", Version: "f1"}}
		}, []string{"load a sketch@f1+fine adapter_replicas", "load c sketch@f1+fine adapter_replicas"}},
		{"recalled adapters", state(adapted(sketch("a", "x"), spec.Adapter{Name: "fine", Version: "f1", Lot: "bad"})), func(state *place.State) {
			state.Pools[0].Adapters = []spec.Adapter{{Name: "fine", Version: "f1", Lot: "bad"}}
			state.RecalledLots["bad"] = true
		}, []string{"unload a sketch@f1+fine recalled"}},
		{"roles follow prompt work", state(sketch("a", "x"), sketch("b", "x"), sketch("c", "y"), sketch("d", "y")), func(state *place.State) {
			state.Pools[0].PrefillPart = 0.3
		}, []string{"role a sketch@v2/prefill prefill_share"}},
		{"roles ignore less than a server", state(sketch("a", "x"), sketch("b", "x"), sketch("c", "y"), sketch("d", "y")), func(state *place.State) {
			state.Pools[0].PrefillPart = 0.2
		}, nil},
	})
}

// loading, leaving, small, only and adapted return a changed server.
func loading(server place.Server) place.Server {
	server.Loading = true
	return server
}

func leaving(server place.Server) place.Server {
	server.Leaving = true
	return server
}

func small(server place.Server) place.Server {
	server.Slots = 4
	return server
}

func only(server place.Server, pool string) place.Server {
	server.Pools = []string{pool}
	return server
}

func adapted(server place.Server, adapter spec.Adapter) place.Server {
	server.Adapters = append(server.Adapters, adapter)
	return server
}

// TestReady guards against traffic to a recalled, loading or leaving server.
func TestReady(t *testing.T) {
	sketch := server("a", "x", "sketch", "v2")
	here := state(sketch)
	pool := here.Pools[0]
	require.True(t, here.Ready(sketch, pool))
	require.False(t, here.Ready(loading(sketch), pool))
	require.False(t, here.Ready(leaving(sketch), pool))
	require.False(t, here.Ready(sketch, here.Pools[1]))
	here.RecalledLots["l2"] = true
	require.False(t, here.Ready(sketch, pool))
}

// TestTrack guards against a shortage that is forgotten while it lasts or kept
// after it has ended.
func TestTrack(t *testing.T) {
	planner := place.New(place.Options{})
	here := state(server("a", "x", "sketch", "v2"), server("b", "x", "ledger", "v1"))
	here.Pools[0].Demand[0] = 10
	first := planner.Track(here, nil)
	require.Equal(t, now, first["sketch"].TopShortSince)
	require.Equal(t, now, first["ledger"].SpareSince)
	here.Now = now.Add(time.Minute)
	second := planner.Track(here, first)
	require.Equal(t, now, second["sketch"].ShortSince)
	here.Pools[0].Demand[0] = 5
	third := planner.Track(here, second)
	require.Zero(t, third["sketch"].ShortSince)
}
