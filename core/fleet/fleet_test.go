package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

func server(id string) fleet.Server {
	return fleet.Server{ID: id, Service: "engines", Address: "10.0.0.1:80", Started: time.UnixMilli(1)}
}

func ids(members []fleet.Member) []string {
	found := []string{}
	for _, member := range members {
		found = append(found, member.ID)
	}
	return found
}

// Servers that are leaving or belong to another service must get no requests.
func TestLeavingServersGetNothing(t *testing.T) {
	servers := fleet.New()
	require.Equal(t, fleet.PutResult{Added: true, Changed: true}, servers.Put(server("a")))
	require.Zero(t, servers.Put(server("a")))
	servers.Put(server("b"))
	require.Equal(t, []string{"a", "b"}, ids(servers.Members("engines", time.Now())))
	require.False(t, servers.Usable("a", "ledger", time.Now()))

	leaving := server("a")
	leaving.Leaving = true
	require.Equal(t, fleet.PutResult{Leaving: true, Changed: true}, servers.Put(leaving))
	require.Zero(t, servers.Put(leaving))
	require.False(t, servers.Usable("a", "engines", time.Now()))
	require.Equal(t, []string{"b"}, ids(servers.Members("engines", time.Now())))
	require.Equal(t, []string{"a", "b"}, ids(servers.Registered("engines", time.Now())))
	require.True(t, servers.Registered("engines", time.Now())[0].IsLeaving())
	require.True(t, servers.Remove("b"))
	require.False(t, servers.Remove("b"))
}

// An entry may disappear because its lease lapsed during a store outage. The
// server must stay in use until its grace period ends, and no longer unless the
// entry returns.
func TestVanishedServersComeBackOrGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		servers.Put(server("a"))
		servers.Put(server("b"))
		servers.MarkMissing("a", time.Now().Add(2*time.Second))
		servers.MarkMissing("b", time.Now().Add(2*time.Second))
		time.Sleep(time.Second)
		require.True(t, servers.Usable("a", "engines", time.Now()))
		servers.Put(server("a"))
		time.Sleep(time.Second)
		require.True(t, servers.Usable("a", "engines", time.Now()))
		require.False(t, servers.Usable("b", "engines", time.Now()))
		require.Equal(t, []string{"b"}, servers.RemoveExpired(time.Now()))
		require.Equal(t, []string{"a"}, servers.IDs())
	})
}

// A server that restarts under its old ID must not inherit a suspension.
func TestRestartClearsFailureHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		servers.Put(server("a"))
		servers.RecordUnreachable("a", time.Now())
		require.Positive(t, servers.SuspendedFor("a", time.Now()))
		restarted := server("a")
		restarted.Started = time.UnixMilli(2)
		require.True(t, servers.Put(restarted).Added)
		require.Zero(t, servers.SuspendedFor("a", time.Now()))
		servers.RecordUnreachable("a", time.Now())
		servers.RecordSuccess("a")
		require.Zero(t, servers.SuspendedFor("a", time.Now()))
	})
}

// A new report of a host must replace the previous one instead of adding to it,
// and reports of a host that went silent must expire.
func TestPeerReportsAreReplacedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, other := fleet.New(), fleet.New()
		mine.Put(server("a"))
		other.Put(server("a"))
		request := fleet.RequestLoad{Rank: 2, PrefillTokens: 5000, DecodeHeavy: true}
		other.RequestStarted("a", request)
		mine.UpdatePeer("other", report(other), time.Now())
		mine.UpdatePeer("other", report(other), time.Now())
		mine.RequestStarted("a", fleet.RequestLoad{Rank: 0, PrefillTokens: 100})
		member := mine.Members("engines", time.Now())[0]
		require.Equal(t, 5000, member.Peers.TotalPrefill())
		require.Equal(t, 1, member.Peers.DecodeHeavy)
		require.Equal(t, 0, member.Peers.PrefillAhead(1))
		require.Equal(t, 100, member.Own.TotalPrefill())

		require.Equal(t, 1, mine.MaxRunning(time.Now()))
		other.RequestStarted("a", fleet.RequestLoad{})
		mine.UpdatePeer("other", report(other), time.Now())
		require.Equal(t, 2, mine.MaxRunning(time.Now()))
		other.RequestEnded("a", fleet.RequestLoad{})

		other.PrefillDone("a", request)
		mine.UpdatePeer("other", report(other), time.Now())
		require.Zero(t, mine.Members("engines", time.Now())[0].Peers.TotalPrefill())
		other.RequestEnded("a", request)
		require.Empty(t, other.LocalLoads())
		time.Sleep(2 * time.Second)
		require.Zero(t, mine.Members("engines", time.Now())[0].Peers.Running)
	})
}

// report returns the report that a host would send.
func report(servers *fleet.Fleet) fleet.HostReport {
	return fleet.HostReport{Loads: servers.LocalLoads(), Running: servers.Running()}
}

// A server may register after other hosts reported load for it: that load must
// count. When the server is replaced, the load must still be removed with the
// next report.
func TestNewServerIncludesEarlierPeerReports(t *testing.T) {
	mine, other := fleet.New(), fleet.New()
	other.Put(server("a"))
	other.RequestStarted("a", fleet.RequestLoad{PrefillTokens: 700})
	mine.UpdatePeer("other", report(other), time.Now())
	mine.Put(server("a"))
	require.Equal(t, 700, mine.Members("engines", time.Now())[0].Peers.TotalPrefill())
	mine.Remove("a")
	mine.Put(server("a"))
	mine.UpdatePeer("other", fleet.HostReport{}, time.Now())
	require.Zero(t, mine.Members("engines", time.Now())[0].Peers.TotalPrefill())
}

// MaxRunning is sent to other hosts, so it must contain direct reports only.
// Otherwise hosts would confirm each other's indirect values, which would then
// never expire.
func TestIndirectReportsAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine := fleet.New()
		mine.UpdatePeer("relay", fleet.HostReport{Running: 3, MaxRunning: 400}, time.Now())
		require.Equal(t, 3, mine.MaxRunning(time.Now()))
		require.Equal(t, 400, mine.MaxRunningWithIndirect(time.Now()))
		time.Sleep(2 * time.Second)
		require.Zero(t, mine.MaxRunningWithIndirect(time.Now()))
	})
}

// An engine that breaks off one answer in ten must not be suspended most of the
// time. One that breaks off every answer or refuses connections must be suspended.
func TestSingleBrokenAnswersDoNotSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		servers.Put(server("a"))
		for range 5 {
			servers.RecordBrokenAnswer("a", time.Now())
			servers.RecordBrokenAnswer("a", time.Now())
			require.Zero(t, servers.SuspendedFor("a", time.Now()))
			servers.RecordSuccess("a")
		}
		for range 3 {
			servers.RecordBrokenAnswer("a", time.Now())
		}
		require.Positive(t, servers.SuspendedFor("a", time.Now()))
		servers.RecordSuccess("a")
		servers.RecordUnreachable("a", time.Now())
		require.Positive(t, servers.SuspendedFor("a", time.Now()))
	})
}

// Guards against what a process has said of itself that is forgotten with its registration, kept for
// a new process, or kept for ever.
func TestAnnouncementsBelongToAProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		first := fleet.Server{ID: "a", Service: "engines", Address: "10.0.0.1:80", Started: time.UnixMilli(1)}
		second := first
		second.Started = time.UnixMilli(2)
		usable := func() bool { return servers.Usable("a", "engines", time.Now()) }
		servers.Put(first)
		require.True(t, usable())
		require.True(t, servers.RecordLeaving(first, time.Now()))
		require.False(t, servers.RecordLeaving(first, time.Now()))
		require.False(t, usable())
		servers.Remove("a")
		servers.Put(first)
		require.False(t, usable(), "listed again")
		servers.Put(second)
		require.True(t, usable(), "a new process")
		require.True(t, servers.RecordTurnedAway(second, time.Now().Add(time.Second), time.Now()))
		require.False(t, servers.RecordTurnedAway(second, time.Now().Add(500*time.Millisecond), time.Now()), "a shorter time")
		require.False(t, usable())
		time.Sleep(time.Second)
		require.True(t, usable())
		time.Sleep(10 * time.Minute)
		servers.RecordTurnedAway(second, time.Now(), time.Now())
		servers.Put(first)
		require.True(t, usable(), "forgotten")
	})
}

// Guards against a server that is avoided for ever because it once refused requests.
func TestDeclineRateFades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		servers.Put(fleet.Server{ID: "a", Service: "engines"})
		rate := func() float64 { return servers.Members("engines", time.Now())[0].DeclineRate(time.Now()) }
		require.Zero(t, rate())
		for range 20 {
			servers.RecordDeclined("a", time.Now())
		}
		require.Greater(t, rate(), 0.9)
		servers.RecordSuccess("a")
		require.Less(t, rate(), 0.8)
		time.Sleep(3 * time.Second)
		require.Zero(t, rate())
	})
}

// Guards against an answer that clears a doubt which was raised after the question.
func TestAnswerDoesNotClearALaterDoubt(t *testing.T) {
	servers, now := fleet.New(), time.Now()
	server := fleet.Server{ID: "a", Service: "engines", Started: now}
	servers.Put(server)
	servers.DoubtProcess("a", now.Add(time.Second))
	servers.ConfirmProcess(server, now)
	require.True(t, servers.InDoubt("a"))
	servers.ConfirmProcess(server, now.Add(2*time.Second))
	require.False(t, servers.InDoubt("a"))
	servers.DoubtProcess("a", now.Add(3*time.Second))
	servers.DoubtProcess("a", now)
	servers.ConfirmProcess(server, now.Add(2*time.Second))
	require.True(t, servers.InDoubt("a"), "a doubt that is reported late does not replace a later one")
}
