package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// Guards against a version that is forgotten while streams which began at it may be taken up: those of a route
// whose timeout is longer than five minutes.
func TestVersionIsRememberedAsLongAsItsStreamsMayLast(t *testing.T) {
	const routeTimeout = 10 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		for id, version := range map[string]string{"a": "v2", "b": "v1", "c": "v1"} {
			servers.Put(versionOf(id, version, 1))
		}
		servers.Remove("a")
		time.Sleep(6 * time.Minute)
		require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", time.Now().Add(-routeTimeout)))
		servers.Remove("c")
		require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", time.Now().Add(-routeTimeout)), "after another server was removed")
	})
}
