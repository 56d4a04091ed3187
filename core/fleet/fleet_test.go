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

// Guards against requests to a server that is leaving or of another service.
func TestLeavingServersGetNothing(t *testing.T) {
	known := fleet.New()
	require.Equal(t, fleet.News{Added: true, Any: true}, known.Put(server("a")))
	require.Zero(t, known.Put(server("a")))
	known.Put(server("b"))
	require.Equal(t, []string{"a", "b"}, ids(known.Members("engines", time.Now())))
	require.False(t, known.Usable("a", "ledger", time.Now()))

	gone := server("a")
	gone.Leaving = true
	require.Equal(t, fleet.News{Leaving: true, Any: true}, known.Put(gone))
	require.Zero(t, known.Put(gone))
	require.False(t, known.Usable("a", "engines", time.Now()))
	require.Equal(t, []string{"b"}, ids(known.Members("engines", time.Now())))
	require.True(t, known.Remove("b"))
	require.False(t, known.Remove("b"))
}

// Guards against a server that lapsed with the store and is lost, and against
// one that did not come back and still gets requests.
func TestVanishedServersComeBackOrGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := fleet.New()
		known.Put(server("a"))
		known.Put(server("b"))
		known.Vanish("a", time.Now().Add(2*time.Second))
		known.Vanish("b", time.Now().Add(2*time.Second))
		time.Sleep(time.Second)
		require.True(t, known.Usable("a", "engines", time.Now()))
		known.Put(server("a"))
		time.Sleep(time.Second)
		require.True(t, known.Usable("a", "engines", time.Now()))
		require.False(t, known.Usable("b", "engines", time.Now()))
		require.Equal(t, []string{"b"}, known.Gone(time.Now()))
		require.Equal(t, []string{"a"}, known.IDs())
	})
}

// Guards against a server that started again under its ID and is still judged by
// its failures before.
func TestNewStartForgetsTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := fleet.New()
		known.Put(server("a"))
		known.Unreachable("a", time.Now())
		require.Positive(t, known.SuspendedFor("a", time.Now()))
		again := server("a")
		again.Started = time.UnixMilli(2)
		require.True(t, known.Put(again).Added)
		require.Zero(t, known.SuspendedFor("a", time.Now()))
		known.Unreachable("a", time.Now())
		known.Good("a")
		require.Zero(t, known.SuspendedFor("a", time.Now()))
	})
}

// Guards against another host's requests that are counted twice, or for ever
// after that host is gone.
func TestPeersAreSummedWhileFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, other := fleet.New(), fleet.New()
		mine.Put(server("a"))
		other.Put(server("a"))
		share := fleet.Share{Rank: 2, Unread: 5000, Talk: true}
		other.Begin("a", share)
		mine.Hear("other", told(other), time.Now())
		mine.Hear("other", told(other), time.Now())
		mine.Begin("a", fleet.Share{Rank: 0, Unread: 100})
		member := mine.Members("engines", time.Now())[0]
		require.Equal(t, 5000, member.Peers.ReadingAll())
		require.Equal(t, 1, member.Peers.Talking)
		require.Equal(t, 0, member.Peers.ReadingFor(1))
		require.Equal(t, 100, member.Own.ReadingAll())

		require.Equal(t, 1, mine.Busiest(time.Now()))
		other.Begin("a", fleet.Share{})
		mine.Hear("other", told(other), time.Now())
		require.Equal(t, 2, mine.Busiest(time.Now()))
		other.End("a", fleet.Share{})

		other.Read("a", share)
		mine.Hear("other", told(other), time.Now())
		require.Zero(t, mine.Members("engines", time.Now())[0].Peers.ReadingAll())
		other.End("a", share)
		require.Empty(t, other.Tell())
		time.Sleep(2 * time.Second)
		require.Zero(t, mine.Members("engines", time.Now())[0].Peers.Running)
	})
}

// told is what a host would tell others.
func told(known *fleet.Fleet) fleet.Told {
	return fleet.Told{Loads: known.Tell(), Running: known.Running()}
}

// Guards against a server that registers after hosts have told of it, and against
// another host's requests that stay when a server is replaced.
func TestNewServerHasWhatPeersTold(t *testing.T) {
	mine, other := fleet.New(), fleet.New()
	other.Put(server("a"))
	other.Begin("a", fleet.Share{Unread: 700})
	mine.Hear("other", told(other), time.Now())
	mine.Put(server("a"))
	require.Equal(t, 700, mine.Members("engines", time.Now())[0].Peers.ReadingAll())
	mine.Remove("a")
	mine.Put(server("a"))
	mine.Hear("other", fleet.Told{}, time.Now())
	require.Zero(t, mine.Members("engines", time.Now())[0].Peers.ReadingAll())
}

// Guards against a host's rumour that keeps itself alive: only what hosts told of
// themselves is told on.
func TestRumoursAreNotToldOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine := fleet.New()
		mine.Hear("relay", fleet.Told{Running: 3, Busiest: 400}, time.Now())
		require.Equal(t, 3, mine.Busiest(time.Now()))
		require.Equal(t, 400, mine.Crowd(time.Now()))
		time.Sleep(2 * time.Second)
		require.Zero(t, mine.Crowd(time.Now()))
	})
}

// Guards against an engine that loses one answer in ten and gets no requests for
// most of the time, and against one that is dead and still gets them.
func TestSingleBrokenAnswersDoNotSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := fleet.New()
		known.Put(server("a"))
		for range 5 {
			known.Broke("a", time.Now())
			known.Broke("a", time.Now())
			require.Zero(t, known.SuspendedFor("a", time.Now()))
			known.Good("a")
		}
		for range 3 {
			known.Broke("a", time.Now())
		}
		require.Positive(t, known.SuspendedFor("a", time.Now()))
		known.Good("a")
		known.Unreachable("a", time.Now())
		require.Positive(t, known.SuspendedFor("a", time.Now()))
	})
}
