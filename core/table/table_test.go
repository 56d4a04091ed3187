package table_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/table"
)

func data(change func(*table.Data)) table.Data {
	data := table.Data{
		Version:  3,
		Services: []table.Service{{Name: "engines"}, {Name: "ledger"}},
		Routes: []table.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/x/", Kind: table.Stream, Priority: 2, Targets: []table.Target{{Service: "engines", Weight: 1}}},
			{Name: "part", Host: "a.example", PathPrefix: "/x/y/", Kind: table.Once, Priority: 0, Targets: []table.Target{{Service: "engines", Weight: 1}}},
			{
				Name: "split", Host: "b.example", PathPrefix: "/", Kind: table.Idempotent, Priority: 1,
				Targets: []table.Target{{Service: "engines", Weight: 9}, {Service: "ledger", Weight: 1}},
			},
		},
		Workspaces: []table.Workspace{
			{Name: "first", Keys: []string{"k1", "k2"}, HasPriority: true, Priority: 1},
			{Name: "second", Keys: []string{"k3"}, HasPriority: true, Priority: 0},
			{Name: "third", Keys: []string{"k4"}},
		},
	}
	if change != nil {
		change(&data)
	}
	return data
}

func build(t *testing.T) *table.Table {
	t.Helper()
	built, err := table.New(data(nil))
	require.NoError(t, err)
	return built
}

// Guards against a request that goes to a shorter prefix's service, or that
// matches by a prefix that is not a whole path segment.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	built := build(t)
	for _, one := range []struct{ host, path, route string }{
		{"a.example", "/x/z", "all"},
		{"A.Example:80", "/x/y/1", "part"},
		{"a.example", "/x/y", "all"},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "split"},
		{"c.example", "/x/", ""},
	} {
		route, ok := built.Match(one.host, one.path)
		require.Equal(t, one.route != "", ok, one)
		require.Equal(t, one.route, route.Name, one)
	}
}

// Guards against an empty key that matches, and a key of one workspace that
// counts as another's.
func TestWorkspaceByKey(t *testing.T) {
	built := build(t)
	workspace, ok := built.Workspace("k3")
	require.True(t, ok)
	require.Equal(t, "second", workspace.Name)
	_, ok = built.Workspace("")
	require.False(t, ok)
	_, ok = built.Workspace("k9")
	require.False(t, ok)
}

// Guards against a split that leaves its weights.
func TestPickFollowsWeights(t *testing.T) {
	route := build(t).Routes[2]
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[route.Pick(draw)]++
	}
	require.Equal(t, map[string]int{"engines": 900, "ledger": 100}, counts)
	require.True(t, route.Allows("ledger"))
	require.False(t, route.Allows("other"))
}

// Guards against a workspace's priority that does not go before the route's, and
// against requests of equal workspaces that are all equally urgent.
func TestRankOrdersByWorkspaceThenRoute(t *testing.T) {
	built := build(t)
	first, second, third := built.Workspaces[0], built.Workspaces[1], built.Workspaces[2]
	urgent, bulk := built.Routes[1], built.Routes[0]
	require.Less(t, built.Rank(urgent, second), built.Rank(bulk, second))
	require.Less(t, built.Rank(bulk, second), built.Rank(urgent, first))
	require.Less(t, built.Rank(urgent, first), built.Rank(bulk, first))
	require.Equal(t, built.Rank(bulk, first), built.Rank(bulk, third))
	require.True(t, built.Bulk(bulk, "engines"))
	require.False(t, built.Bulk(urgent, "engines"))
}

// Guards against a configuration with a fault that is put in force.
func TestNewNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*table.Data){
		"routes.all.host":        func(data *table.Data) { data.Routes[0].Host = "" },
		"routes.all.path_prefix": func(data *table.Data) { data.Routes[0].PathPrefix = "/x" },
		"routes.all.targets":     func(data *table.Data) { data.Routes[0].Targets[0].Service = "nobody" },
		"routes.part.targets":    func(data *table.Data) { data.Routes[1].Targets = nil },
		"routes.split.targets":   func(data *table.Data) { data.Routes[2].Targets[0].Weight = -1 },
		"routes.split.kind":      func(data *table.Data) { data.Routes[2].Kind = "odd" },
		"services.name":          func(data *table.Data) { data.Services[0].Name = "" },
	} {
		_, err := table.New(data(change))
		require.True(t, fault.Is(err, table.Invalid), field)
		require.ErrorContains(t, err, field)
	}
}

// Guards against a host that goes back to an older version.
func TestCurrentNeverGoesBack(t *testing.T) {
	var current table.Current
	require.Nil(t, current.Load())
	newer, err := table.New(data(func(data *table.Data) { data.Version = 9 }))
	require.NoError(t, err)
	require.True(t, current.Adopt(build(t)))
	require.True(t, current.Adopt(newer))
	require.False(t, current.Adopt(build(t)))
	require.Equal(t, int64(9), current.Load().Version)
}

// Guards against a stream that is sent again though its route does not allow it.
func TestRepeatable(t *testing.T) {
	require.True(t, table.Route{Kind: table.Idempotent}.Repeatable())
	require.False(t, table.Route{Kind: table.Once}.Repeatable())
	require.False(t, table.Route{Kind: table.Stream, Timeout: time.Second}.Repeatable())
	require.True(t, table.Route{Kind: table.Stream, Resumable: true}.Repeatable())
}
