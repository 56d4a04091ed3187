package table_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

// moved returns a table with routes of resumable streams by path prefix.
func moved(t *testing.T, version int64, services map[string]string) *table.Table {
	t.Helper()
	data := table.Data{Version: version, Services: []table.Service{{Name: "first"}, {Name: "second"}}}
	for pathPrefix, service := range services {
		data.Routes = append(data.Routes, table.Route{
			Name: pathPrefix, Host: "h.example", PathPrefix: pathPrefix, Kind: table.Stream, Resumable: true, Targets: []table.Target{{Service: service, Weight: 1}},
		})
	}
	built, err := table.New(data)
	require.NoError(t, err)
	return built
}

// Guards against a service to which requests led before, and which is forgotten when their route moves, goes, or a longer
// prefix gets one.
func TestPastServicesOfMovedRoutes(t *testing.T) {
	for name, after := range map[string]map[string]string{
		"moves":            {"/a/": "second"},
		"a longer prefix":  {"/a/": "first", "/a/b/": "second"},
		"goes":             {},
		"goes to a parent": {"/": "second"},
	} {
		t.Run(name, func(t *testing.T) {
			var current table.Current
			since := time.Now().Add(-time.Minute)
			require.True(t, current.Adopt(moved(t, 1, map[string]string{"/a/": "first"})))
			require.Empty(t, current.PastServices("h.example", "/a/b/c", since))
			require.True(t, current.Adopt(moved(t, 2, after)))
			require.Equal(t, []string{"first"}, current.PastServices("H.example:80", "/a/b/c", since))
			require.Empty(t, current.PastServices("other.example", "/a/b/c", since))
			require.Empty(t, current.PastServices("h.example", "/b/", since))
			require.Empty(t, current.PastServices("h.example", "/a/b/c", time.Now()), "too long ago")
		})
	}
	var current table.Current
	require.True(t, current.Adopt(moved(t, 1, map[string]string{"/a/": "first"})))
	require.True(t, current.Adopt(moved(t, 2, map[string]string{"/a/": "first", "/b/": "second"})))
	require.Empty(t, current.PastServices("h.example", "/a/", time.Now().Add(-time.Minute)), "it leads to the same service")
}

// Guards against a request that waits on although its table has been replaced, also if that was before it asked.
func TestReplacedTablesAreTold(t *testing.T) {
	current := &table.Current{}
	first, second := moved(t, 1, nil), moved(t, 2, nil)
	current.Adopt(first)
	replaced := current.Replaced(first)
	require.False(t, current.Adopt(moved(t, 1, nil)))
	select {
	case <-replaced:
		require.Fail(t, "the table is still the active one")
	default:
	}
	require.True(t, current.Adopt(second))
	<-replaced
	<-current.Replaced(first)
	select {
	case <-current.Replaced(second):
		require.Fail(t, "the table is the active one")
	default:
	}
}
