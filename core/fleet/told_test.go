package fleet_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// away returns for how long a server wants no requests.
func away(servers *fleet.Fleet) time.Duration {
	members := servers.Members("engines", time.Now())
	if len(members) == 0 {
		return -1
	}
	return members[0].AwayFor(time.Now())
}

// newPair returns two hosts that know the server "a".
func newPair() (first, second *fleet.Fleet) {
	first, second = fleet.New(), fleet.New()
	first.Put(server("a"))
	second.Put(server("a"))
	return first, second
}

// Guards against a host that sends requests to a server that has told another host that it is leaving,
// and against statements that go on between hosts for ever.
func TestLeavingIsToldToOtherHosts(t *testing.T) {
	first, second := newPair()
	require.Empty(t, first.TakeAnnouncements(time.Now()))
	first.RecordLeaving(server("a"), time.Now())
	require.Len(t, first.Announced(), 1)
	told := first.TakeAnnouncements(time.Now())
	require.Len(t, told, 1)
	changes := second.ApplyAnnouncements("first", told, time.Now())
	require.Equal(t, []fleet.ToldChange{{Server: server("a"), Leaving: true}}, changes)
	require.False(t, second.Usable("a", "engines", time.Now()))
	require.Empty(t, second.ApplyAnnouncements("first", told, time.Now()))
	require.False(t, second.RecordLeaving(server("a"), time.Now()), "known")
	require.Equal(t, told, first.TakeAnnouncements(time.Now()), "repeated once")
	require.Empty(t, first.TakeAnnouncements(time.Now()))
	require.Empty(t, second.TakeAnnouncements(time.Now()))
	require.Empty(t, second.Announced())
}

// Guards against a statement of one process that is applied to the next one, and against one that is
// lost because the host learns of the process later.
func TestToldStatementsBelongToAProcess(t *testing.T) {
	first, second := newPair()
	next := server("a")
	next.Started = next.Started.Add(time.Second)
	first.Put(next)
	first.RecordLeaving(next, time.Now())
	require.Empty(t, second.ApplyAnnouncements("first", first.TakeAnnouncements(time.Now()), time.Now()))
	require.True(t, second.Usable("a", "engines", time.Now()))
	second.Put(next)
	require.False(t, second.Usable("a", "engines", time.Now()))
}

// Guards against a time that becomes longer by the delay of a message or by its repetition.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newPair()
		first.RecordTurnedAway(server("a"), time.Now().Add(time.Second), time.Now())
		time.Sleep(100 * time.Millisecond)
		told := first.TakeAnnouncements(time.Now())
		require.Equal(t, int64(900), told[0].AwayMs)
		require.Equal(t, []fleet.ToldChange{{Server: server("a"), AwayFor: 900 * time.Millisecond}}, second.ApplyAnnouncements("first", told, time.Now()))
		require.Equal(t, 900*time.Millisecond, away(second))
		again := first.TakeAnnouncements(time.Now())
		time.Sleep(400 * time.Millisecond)
		require.Empty(t, second.ApplyAnnouncements("first", again, time.Now()), "a late repetition")
		require.Equal(t, 500*time.Millisecond, away(second))
		time.Sleep(500 * time.Millisecond)
		require.True(t, second.Usable("a", "engines", time.Now()))
	})
}

// Guards against a host that does not use a server because of what the server has told another host,
// although it has told this one a shorter time itself; and against ignoring others once that has passed.
func TestToldTimeDoesNotReplaceTheOwnOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newPair()
		first.RecordTurnedAway(server("a"), time.Now().Add(time.Second), time.Now())
		told := first.TakeAnnouncements(time.Now())
		second.RecordTurnedAway(server("a"), time.Now().Add(200*time.Millisecond), time.Now())
		require.Empty(t, second.ApplyAnnouncements("first", told, time.Now()))
		require.Equal(t, 200*time.Millisecond, away(second))
		time.Sleep(300 * time.Millisecond)
		first.RecordTurnedAway(server("a"), time.Now().Add(time.Second), time.Now())
		require.NotEmpty(t, second.ApplyAnnouncements("first", first.TakeAnnouncements(time.Now()), time.Now()))
		require.Equal(t, time.Second, away(second))
	})
}

// Guards against a statement with the time of another host that is told as this host's own, and against
// one with no time left.
func TestOnlyOwnTimesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newPair()
		first.RecordTurnedAway(server("a"), time.Now().Add(time.Second), time.Now())
		second.ApplyAnnouncements("first", first.TakeAnnouncements(time.Now()), time.Now())
		second.RecordLeaving(server("a"), time.Now())
		told := second.TakeAnnouncements(time.Now())
		require.Len(t, told, 1)
		require.True(t, told[0].Leaving)
		require.Zero(t, told[0].AwayMs)
		time.Sleep(time.Second)
		require.Empty(t, first.TakeAnnouncements(time.Now()), "no time is left")
	})
}

// Guards against a time of a faulty host that overflows or keeps a server out for ever.
func TestToldTimeIsBounded(t *testing.T) {
	_, second := newPair()
	for number, left := range []int64{math.MinInt64, -1, 0, math.MaxInt64} {
		statement := fleet.Announcement{Process: server("a").ProcessHash(), Number: int64(number), AwayMs: left}
		second.ApplyAnnouncements("first", []fleet.Announcement{statement}, time.Now())
	}
	require.Positive(t, away(second))
	require.LessOrEqual(t, away(second), 5*time.Minute)
}

// Guards against a message that is too long for a datagram, and against statements that are dropped.
func TestManyStatementsAreDivided(t *testing.T) {
	servers := fleet.New()
	const count = 100
	for index := range count {
		one := server("a")
		one.Started = time.UnixMilli(int64(index))
		servers.RecordLeaving(one, time.Now())
	}
	told := make(map[uint64]int)
	for {
		statements := servers.TakeAnnouncements(time.Now())
		if len(statements) == 0 {
			break
		}
		require.LessOrEqual(t, len(statements), 40)
		for _, statement := range statements {
			told[statement.Process]++
		}
	}
	require.Len(t, told, count)
	for _, times := range told {
		require.Equal(t, 2, times)
	}
}
