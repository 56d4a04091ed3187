package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// Guards against servers that count as mute after failures of a moment, or for as long as their process runs.
func TestServerIsMuteAfterFailuresInARow(t *testing.T) {
	servers, now := fleet.New(), time.Now()
	server := fleet.Server{ID: "a", Service: "engines", Started: now}
	servers.Put(server)
	fail := func(times int, over time.Duration) {
		for number := range times {
			servers.RecordFailedReport(server, now.Add(over*time.Duration(number)/time.Duration(times-1)))
		}
		now = now.Add(over)
	}
	fail(20, time.Second)
	require.False(t, servers.Mute("a", now), "failures of a moment")
	servers.ConfirmProcess(server, now)
	fail(4, time.Minute)
	require.False(t, servers.Mute("a", now), "few failures since it said which process it is")
	fail(2, time.Second)
	require.True(t, servers.Mute("a", now))
	require.False(t, servers.Mute("a", now.Add(30*time.Second)), "it is asked again")
	servers.RecordReport(server, false, now)
	require.False(t, servers.Mute("a", now.Add(30*time.Second)), "one report closed its connection")
	servers.RecordReport(server, true, now)
	servers.RecordReport(server, false, now)
	require.False(t, servers.Mute("a", now), "not in a row")
	servers.RecordReport(server, false, now)
	require.True(t, servers.Mute("a", now), "two in a row")
	require.False(t, servers.Mute("a", now.Add(30*time.Second)), "it is asked again")
	server.Started = now
	servers.Put(server)
	require.False(t, servers.Mute("a", now), "another process")
}
