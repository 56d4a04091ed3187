package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/place"
	"primrosegw/core/spec"
)

// drawState returns a random state.
func drawState(t *rapid.T) place.State {
	var servers []place.Server
	for index := range rapid.IntRange(0, 20).Draw(t, "servers") {
		made := server(fmt.Sprint("s", index), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain"),
			rapid.SampledFrom([]string{"sketch", "ledger"}).Draw(t, "model"),
			rapid.SampledFrom([]string{"", "v1", "v2", "old"}).Draw(t, "version"))
		made.Pools = rapid.SampledFrom([][]string{{"sketch"}, {"ledger"}, {"sketch", "ledger"}}).Draw(t, "pools")
		made.Loading = made.Model != "" && rapid.IntRange(0, 4).Draw(t, "loading") == 0
		made.Leaving = rapid.IntRange(0, 6).Draw(t, "leaving") == 0
		made.Slots = rapid.IntRange(1, 16).Draw(t, "slots")
		made.Load = rapid.Float64Range(0, 1).Draw(t, "load")
		servers = append(servers, made)
	}
	made := state(servers...)
	for index := range made.Pools {
		pool := &made.Pools[index]
		pool.MinimumServers = rapid.IntRange(0, 4).Draw(t, "minimum")
		pool.PrefillPart = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "prefill")
		pool.Adapters = []spec.Adapter{{Name: "fine", Version: "f1", Lot: "l3"}}
		for tier := range pool.Demand {
			pool.Demand[tier] = float64(rapid.IntRange(0, 20).Draw(t, "demand"))
		}
	}
	for _, lot := range []string{"l1", "l2", "l3", "l9"} {
		made.RecalledLots[lot] = rapid.IntRange(0, 3).Draw(t, "recalled") == 0
	}
	made.Weights = place.Weights{
		Concurrent: rapid.IntRange(0, 8).Draw(t, "concurrent"), Tokens: rapid.Float64Range(-1, 8).Draw(t, "tokens"),
	}
	return made
}

// capacity returns the ready slots and servers of a pool without some servers.
func capacity(state place.State, pool place.Pool, without map[string]bool) (float64, int) {
	slots, count := 0.0, 0
	for _, server := range state.Servers {
		if !without[server.Name] && state.Ready(server, pool) {
			slots += float64(server.Slots)
			count++
		}
	}
	return slots, count
}

// topNeed returns the slots that a pool's top tier needs.
func topNeed(pool place.Pool) float64 {
	for _, slots := range pool.Demand {
		if slots > 0 {
			return slots
		}
	}
	return 0
}

// TestPlanInvariants guards against plans that overload the weight store, starve
// a top tier, load what is recalled, leave it loaded, give two orders to one
// engine, or depend on the order in which servers are reported.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		planner := place.New(place.Options{})
		orders := planner.Plan(state)
		loads, taken, ordered := 0, map[string]bool{}, map[string]place.Order{}
		for _, order := range orders {
			require.NotContains(t, ordered, order.Server)
			ordered[order.Server] = order
			if order.Action == place.Load {
				loads++
				taken[order.Server] = order.Adapter == ""
			}
		}
		checkBudget(t, state, loads)
		for _, server := range state.Servers {
			checkServer(t, state, server, ordered[server.Name])
		}
		for _, pool := range state.Pools {
			slots, count := capacity(state, pool, nil)
			left, stay := capacity(state, pool, taken)
			if left < slots {
				require.GreaterOrEqual(t, left, topNeed(pool))
				require.GreaterOrEqual(t, stay, min(pool.MinimumServers, count)-1)
			}
		}
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(state.Servers), func(i, j int) {
			state.Servers[i], state.Servers[j] = state.Servers[j], state.Servers[i]
		})
		require.Equal(t, orders, planner.Plan(state))
	})
}

// checkBudget compares the loads of a plan with what the weight store allows.
func checkBudget(t *rapid.T, state place.State, loads int) {
	running := 0
	for _, server := range state.Servers {
		if server.Loading {
			running++
		}
	}
	require.LessOrEqual(t, loads, max(0, state.Weights.Concurrent-running))
	require.LessOrEqual(t, float64(loads), max(0, state.Weights.Tokens))
}

// checkServer compares the order for a server with what is allowed there.
func checkServer(t *rapid.T, state place.State, server place.Server, order place.Order) {
	after := server
	after.Leaving, after.Loading = false, false
	allowed := false
	for _, pool := range state.Pools {
		allowed = allowed || state.Ready(after, pool)
	}
	if server.Model != "" && !allowed {
		require.Equal(t, place.Unload, order.Action)
	}
	if order.Action != place.Load {
		return
	}
	require.False(t, server.Leaving || server.Loading)
	if order.Adapter != "" {
		require.False(t, state.RecalledLots["l3"])
		return
	}
	after.Model, after.Version = order.Model, order.Version
	loadable := false
	for _, pool := range state.Pools {
		loadable = loadable || state.Ready(after, pool)
	}
	require.True(t, loadable, "%s may not load %s", server.Name, order.ID())
}

// TestPlanSettles guards against orders that never end because one plan undoes
// another: under constant demand the engines must come to rest.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		state.Weights.Concurrent, state.Weights.Tokens = 3, 3
		planner := place.New(place.Options{})
		idle := 0
		for range 200 {
			state.Now = state.Now.Add(30 * time.Second)
			finishLoads(state.Servers)
			state.Trends = planner.Track(state, state.Trends)
			orders := planner.Plan(state)
			for _, order := range orders {
				carryOut(state.Servers, order)
			}
			idle++
			if len(orders) > 0 {
				idle = 0
			}
		}
		// Servers become spare for other pools only after Options.Fall.
		require.Greater(t, idle, 20)
		for _, pool := range state.Pools {
			checkNeed(t, state, pool)
		}
	})
}

// finishLoads lets all running loads end.
func finishLoads(servers []place.Server) {
	for index := range servers {
		servers[index].Loading = false
	}
}

// carryOut changes the server that an order names.
func carryOut(servers []place.Server, order place.Order) {
	for index := range servers {
		server := &servers[index]
		switch {
		case server.Name != order.Server:
		case order.Action == place.SetRole:
			server.Role = order.Role
		case order.Adapter != "" && order.Action == place.Load:
			server.Adapters = append(server.Adapters, spec.Adapter{Name: order.Adapter, Version: order.Version, Lot: "l3"})
		case order.Adapter != "":
			server.Adapters = nil
		case order.Action == place.Unload:
			server.Model, server.Version, server.Adapters = "", "", nil
		default:
			server.Model, server.Version, server.Adapters, server.Loading = order.Model, order.Version, nil, true
		}
	}
}

// checkNeed requires that a pool at rest has what its top tier needs, or that no
// empty server is left for it.
func checkNeed(t *rapid.T, state place.State, pool place.Pool) {
	recalled := true
	for _, version := range pool.Versions {
		recalled = recalled && state.RecalledLots[version.Lot]
	}
	slots, _ := capacity(state, pool, nil)
	if recalled || slots >= topNeed(pool) {
		return
	}
	for _, server := range state.Servers {
		free := server.Model == "" && !server.Leaving && (server.Pools[0] == pool.Name || len(server.Pools) == 2)
		require.False(t, free, "%s is empty while %s is short", server.Name, pool.Name)
	}
}

// BenchmarkPlan measures one plan for all engines of the two-year target.
func BenchmarkPlan(b *testing.B) {
	var servers []place.Server
	for index := range 1400 {
		made := server(fmt.Sprint("s", index), fmt.Sprint("d", index%12), "sketch", []string{"v1", "v2", ""}[index%3])
		servers = append(servers, made)
	}
	state := state(servers...)
	state.Pools[0].Demand[0] = 8000
	planner := place.New(place.Options{})
	b.ReportAllocs()
	for b.Loop() {
		planner.Plan(state)
	}
}
