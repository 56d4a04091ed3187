package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// Guards against requests to a server that is leaving or gone, because a restored store still has
// its registration of before.
func TestRestoredRegistrationBringsNoServerBack(t *testing.T) {
	before, after := server("a"), server("a")
	before.Sequence, after.Sequence, after.Leaving = 3, 4, true
	servers := fleet.New()
	servers.Put(after)
	require.Zero(t, servers.PutRestored(before))
	require.False(t, servers.Usable("a", "engines", time.Now()))
	servers.Remove("a")
	require.Zero(t, servers.PutRestored(before))
	require.Zero(t, servers.PutRestored(after))
	require.Empty(t, servers.IDs())
}

// Guards against a server that stays unused although it has written its registration again.
func TestServerComesBackByALaterRegistration(t *testing.T) {
	later, restarted := server("a"), server("a")
	later.Sequence, restarted.Started = 5, time.UnixMilli(2)
	for _, put := range []func(servers *fleet.Fleet) fleet.PutResult{
		func(servers *fleet.Fleet) fleet.PutResult { return servers.PutRestored(later) },
		func(servers *fleet.Fleet) fleet.PutResult { return servers.PutRestored(restarted) },
		func(servers *fleet.Fleet) fleet.PutResult { return servers.Put(server("a")) },
	} {
		servers := fleet.New()
		known := server("a")
		known.Sequence = 4
		servers.Put(known)
		servers.Remove("a")
		require.True(t, put(servers).Added)
		require.True(t, servers.Usable("a", "engines", time.Now()))
	}
}

// Guards against heartbeats that count as news and are sent to all hosts.
func TestSequenceAloneIsNoChange(t *testing.T) {
	servers := fleet.New()
	servers.Put(server("a"))
	heartbeat := server("a")
	heartbeat.Sequence = 9
	require.Zero(t, servers.Put(heartbeat))
	require.Zero(t, servers.PutRestored(heartbeat))
}
