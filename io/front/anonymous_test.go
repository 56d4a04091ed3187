package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

// Guards against requests on routes without keys that are refused because keys can't be confirmed, and against keys that
// are trusted then, or a route that is called missing.
func TestRoutesWithoutKeysNeedNoProof(t *testing.T) {
	harness := newHarness(t, func(data *table.Data) {
		for index := range data.Routes {
			data.Routes[index].Anonymous = data.Routes[index].Name == "once"
		}
	})
	harness.addServer("a", respondWith(200, "ok", signed))
	harness.whileDialing = func() { harness.now.Store(int64(2 * time.Minute)) }
	require.Equal(t, 200, harness.post("/once/", "the proof lapses").status)
	require.Equal(t, 200, harness.post("/once/", "it has lapsed").status)
	for _, path := range []string{"/safe/", "/missing/"} {
		got := harness.post(path, "x")
		require.Equal(t, http.StatusServiceUnavailable, got.status, path)
		require.Contains(t, got.body, "table_unconfirmed", path)
	}
	harness.adopt(func(data *table.Data) { data.Version = 2 })
	got := harness.post("/once/", "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status, "its route needs a key now")
	require.Len(t, harness.requestsReceived(), 2)
}
