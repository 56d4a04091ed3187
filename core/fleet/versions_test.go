package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// versionOf returns a registration of a server's process with a software version.
func versionOf(id, version string, startedMs int64) fleet.Server {
	registered := server(id)
	registered.Version, registered.Started = version, time.UnixMilli(startedMs)
	return registered
}

// Guards against a version that is forgotten at once because its server has restarted twice: streams of
// it may still be taken up, and the other version is not the only one.
func TestVersionIsRememberedWhenItsServerRestartsTwice(t *testing.T) {
	since, servers := time.Now().Add(-time.Minute), fleet.New()
	servers.Put(versionOf("a", "v2", 1))
	servers.Put(versionOf("a", "v1", 2))
	require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", since), "after one restart")
	servers.Put(versionOf("a", "v1", 3))
	require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", since), "after two restarts")
}

// Guards against a version that is forgotten at once because its server is removed, comes back with
// another one and is removed again.
func TestVersionIsRememberedWhenItsServerIsRemovedTwice(t *testing.T) {
	since, servers := time.Now().Add(-time.Minute), fleet.New()
	servers.Put(versionOf("b", "v1", 1))
	servers.Put(versionOf("a", "v2", 1))
	servers.Remove("a")
	servers.Put(versionOf("a", "v1", 2))
	servers.Remove("a")
	require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", since))
}

// Guards against a version that is forgotten at once because its server registers with another version or
// for another service and says the same start time, or none.
func TestVersionIsRememberedWhenARegistrationIsReplacedInPlace(t *testing.T) {
	since := time.Now().Add(-time.Minute)
	for _, startedMs := range []int64{0, 1} {
		started := time.Time{}
		if startedMs > 0 {
			started = time.UnixMilli(startedMs)
		}
		before, after, elsewhere := server("a"), server("a"), server("a")
		before.Version, after.Version, elsewhere.Version = "v1", "v2", "v3"
		before.Started, after.Started, elsewhere.Started = started, started, started
		elsewhere.Service = "others"
		servers := fleet.New()
		servers.Put(before)
		servers.Put(after)
		require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", since), "started %v", started)
		servers.Put(elsewhere)
		require.Equal(t, []string{"v1", "v2"}, servers.Versions("engines", since), "started %v, registered for another service", started)
	}
}
