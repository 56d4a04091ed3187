package table_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/table"
)

func testData(change func(*table.Data)) table.Data {
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

func newTable(t *testing.T) *table.Table {
	t.Helper()
	built, err := table.New(testData(nil))
	require.NoError(t, err)
	return built
}

// The longest matching prefix must win, and a prefix must match whole path segments
// only.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	built := newTable(t)
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

// An empty or unknown key must match no workspace, and a key must not match another
// workspace.
func TestWorkspaceByKey(t *testing.T) {
	built := newTable(t)
	workspace, ok := built.Workspace("k3")
	require.True(t, ok)
	require.Equal(t, "second", workspace.Name)
	_, ok = built.Workspace("")
	require.False(t, ok)
	_, ok = built.Workspace("k9")
	require.False(t, ok)
}

// Requests must be split between services in proportion to the weights.
func TestPickFollowsWeights(t *testing.T) {
	route := newTable(t).Routes[2]
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[route.Pick(draw)]++
	}
	require.Equal(t, map[string]int{"engines": 900, "ledger": 100}, counts)
	require.True(t, route.Allows("ledger"))
	require.False(t, route.Allows("other"))
}

// The workspace's priority must take precedence over the route's, and the route's
// priority must order the requests of workspaces with equal priority.
func TestRankOrdersByWorkspaceThenRoute(t *testing.T) {
	built := newTable(t)
	first, second, third := built.Workspaces[0], built.Workspaces[1], built.Workspaces[2]
	urgent, bulk := built.Routes[1], built.Routes[0]
	require.Less(t, built.Rank(urgent, second), built.Rank(bulk, second))
	require.Less(t, built.Rank(bulk, second), built.Rank(urgent, first))
	require.Less(t, built.Rank(urgent, first), built.Rank(bulk, first))
	require.Equal(t, built.Rank(bulk, first), built.Rank(bulk, third))
	require.True(t, built.Bulk(bulk, "engines"))
	require.False(t, built.Bulk(urgent, "engines"))
	require.True(t, built.MostUrgent(urgent, "engines"))
	require.False(t, built.MostUrgent(bulk, "engines"))
}

// An invalid configuration must be rejected with an error that names the field.
func TestInvalidFieldIsNamed(t *testing.T) {
	for field, change := range map[string]func(*table.Data){
		"routes.all.host":        func(data *table.Data) { data.Routes[0].Host = "" },
		"routes.all.path_prefix": func(data *table.Data) { data.Routes[0].PathPrefix = "/x" },
		"routes.all.targets":     func(data *table.Data) { data.Routes[0].Targets[0].Service = "nobody" },
		"routes.part.targets":    func(data *table.Data) { data.Routes[1].Targets = nil },
		"routes.split.targets":   func(data *table.Data) { data.Routes[2].Targets[0].Weight = -1 },
		"routes.split.kind":      func(data *table.Data) { data.Routes[2].Kind = "odd" },
		"services.name":          func(data *table.Data) { data.Services[0].Name = "" },
	} {
		_, err := table.New(testData(change))
		require.True(t, fault.Is(err, table.Invalid), field)
		require.ErrorContains(t, err, field)
	}
}

// A host must never return to an older version of the table.
func TestCurrentNeverGoesBack(t *testing.T) {
	var current table.Current
	require.Nil(t, current.Load())
	newer, err := table.New(testData(func(data *table.Data) { data.Version = 9 }))
	require.NoError(t, err)
	require.True(t, current.Adopt(newTable(t)))
	require.True(t, current.Adopt(newer))
	require.False(t, current.Adopt(newTable(t)))
	require.Equal(t, int64(9), current.Load().Version)
}

// A stream must not be sent again unless its route allows it.
func TestRepeatable(t *testing.T) {
	require.True(t, table.Route{Kind: table.Idempotent}.Repeatable())
	require.False(t, table.Route{Kind: table.Once}.Repeatable())
	require.False(t, table.Route{Kind: table.Stream, Timeout: time.Second}.Repeatable())
	require.True(t, table.Route{Kind: table.Stream, Resumable: true}.Repeatable())
}
