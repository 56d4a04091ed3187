package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// Guards against a server that gets many requests at once after its suspension, before the first of
// them shows whether it serves again, and against one that is never trusted again.
func TestServerThatTrickledGetsOneRequestAtATime(t *testing.T) {
	const pause = 20 * time.Second
	isSuspended := func(servers *fleet.Fleet) bool {
		member := servers.Members("engines", time.Now())[0]
		return member.Suspended(time.Now())
	}
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		servers.Put(server("a"))
		servers.RecordTrickle("a", 0, time.Now())
		require.False(t, isSuspended(servers))
		require.Positive(t, servers.Members("engines", time.Now())[0].FailureRate)
		servers.RecordTrickle("a", pause, time.Now())
		require.True(t, isSuspended(servers))
		time.Sleep(pause)
		require.False(t, isSuspended(servers))
		servers.RequestStarted("a", fleet.RequestLoad{})
		require.True(t, isSuspended(servers), "one at a time")
		servers.RequestEnded("a", fleet.RequestLoad{})
		require.False(t, isSuspended(servers))
		servers.RequestStarted("a", fleet.RequestLoad{})
		time.Sleep(pause)
		require.False(t, isSuspended(servers), "the probation ends")
		servers.RecordTrickle("a", pause, time.Now())
		servers.RecordSuccess("a")
		require.False(t, isSuspended(servers), "a success ends it")
	})
}
