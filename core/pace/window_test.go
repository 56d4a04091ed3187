package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pace"
)

// hosts are trackers that exchange reports.
type hosts struct {
	trackers []*pace.Tracker
	members  []fleet.Member
	// flying is the number of each host's requests at the server that starts, the last one.
	flying []int
	now    time.Time
}

// newHosts returns hosts before servers with some requests in flight, and the last server started anew.
func newHosts(t *testing.T, count, servers, inFlight int) *hosts {
	t.Helper()
	all := &hosts{members: engines(servers, inFlight), flying: make([]int, count), now: time.Unix(100, 0)}
	var names []string
	for index := range count {
		names = append(names, fmt.Sprint("host-", index))
		all.trackers = append(all.trackers, pace.New(names[index]))
	}
	for _, tracker := range all.trackers {
		tracker.SetHosts(names)
		require.Empty(t, tracker.Full("engines", all.members, all.now), "servers that run when a host first sees them are not limited")
	}
	last := &all.members[servers-1]
	last.Started = time.Unix(99, 0)
	return all
}

// full returns what a host sends nothing to.
func (hosts *hosts) full(index int) map[string]bool {
	last := &hosts.members[len(hosts.members)-1]
	sum := 0
	for _, flying := range hosts.flying {
		sum += flying
	}
	last.Own.Running, last.Peers.Running = hosts.flying[index], sum-hosts.flying[index]
	return hosts.trackers[index].Full("engines", hosts.members, hosts.now)
}

func (hosts *hosts) last() fleet.Server { return hosts.members[len(hosts.members)-1].Server }

// round lets each host send all that it may to the last server, then answers, and exchanges reports unless
// they are lost. It returns the number of requests.
func (hosts *hosts) round(late, lost bool) int {
	hosts.now = hosts.now.Add(300 * time.Millisecond)
	sent := 0
	for index := range hosts.trackers {
		for hosts.flying[index] < 40 && !hosts.full(index)[hosts.last().ID] {
			hosts.flying[index]++
			sent++
		}
	}
	for index, tracker := range hosts.trackers {
		for ; hosts.flying[index] > 0; hosts.flying[index]-- {
			actual := 50 * time.Millisecond
			if late {
				actual = time.Second
			}
			tracker.Observe(hosts.last(), pace.Outcome{Kind: pace.Prefill, Actual: actual, IsAnswer: true, Latest: 200 * time.Millisecond}, hosts.now)
		}
		reports := tracker.PendingReports(hosts.now)
		for target, one := range hosts.trackers {
			if target != index && !lost {
				one.ApplyReports(fmt.Sprint("host-", index), reports, hosts.now)
			}
		}
	}
	return sent
}

// Guards against a new server that is overloaded by all hosts at once or left idle by them, and against a
// window that does not double or is never lifted: 12 hosts, 48 requests in flight at the others.
func TestWindowDoubles(t *testing.T) {
	hosts := newHosts(t, 12, 10, 48)
	require.Equal(t, 12, hosts.round(false, false))
	require.InDelta(t, 24, hosts.round(false, false), 1)
	limit, open := hosts.trackers[3].Window(hosts.last(), hosts.now)
	require.False(t, open)
	require.InDelta(t, 48, limit, 1)
	hosts.round(false, false)
	hosts.round(false, false)
	for _, tracker := range hosts.trackers {
		_, open := tracker.Window(hosts.last(), hosts.now)
		require.True(t, open)
		require.Zero(t, tracker.Limited())
		changes := tracker.TakeChanges()
		require.Len(t, changes, 2)
		require.Equal(t, pace.Started, changes[0].Reason)
		require.True(t, changes[1].Ended)
	}
}

// Guards against a slow server that is sent more and more, and against one without requests in flight that
// no host may send one: 12 hosts, 8 requests in flight at the others, so that the window is 2.
func TestLateAnswersKeepTheWindow(t *testing.T) {
	hosts := newHosts(t, 12, 10, 8)
	senders := map[int]bool{}
	for range 40 {
		for index := range hosts.trackers {
			if !hosts.full(index)[hosts.last().ID] {
				senders[index] = true
			}
		}
		require.Equal(t, 2, hosts.round(true, false))
	}
	require.Len(t, senders, 12, "each host gets a turn")
	require.Positive(t, hosts.round(false, false))
	require.Greater(t, hosts.round(false, false), 2)
}

// Guards against a server that stays limited because messages are lost.
func TestWindowWithoutMessages(t *testing.T) {
	hosts := newHosts(t, 4, 10, 16)
	for range 60 {
		require.Positive(t, hosts.round(false, true))
	}
	for _, tracker := range hosts.trackers {
		require.Zero(t, tracker.Limited())
	}
}

// Guards against windows at the start of a whole fleet, when nothing else can take the requests.
func TestWholeFleetStarts(t *testing.T) {
	hosts := newHosts(t, 3, 10, 20)
	for index := range hosts.members {
		hosts.members[index].Started = time.Unix(101, 0)
	}
	require.Empty(t, hosts.full(0))
	require.Zero(t, hosts.trackers[0].Limited())
}

// Guards against a server that is sent everything at once after failures, by the hosts that saw them.
func TestRecoveredServer(t *testing.T) {
	tracker, members, now := pace.New("host"), engines(24, 0), time.Unix(100, 0)
	for index := range members {
		members[index].Own.Running = 6
	}
	tracker.Full("engines", members, now)
	members[0].SuspendedUntil, members[0].ConsecutiveFailures, members[0].Own.Running = now.Add(time.Second), 2, 0
	require.Empty(t, tracker.Full("engines", members, now))
	now = now.Add(time.Second)
	require.Empty(t, tracker.Full("engines", members, now))
	members[0].Own.Running = 3
	require.True(t, tracker.Full("engines", members, now)[members[0].ID])
	tracker.RecordLate(members[0].Server, now)
	limit, open := tracker.Window(members[0].Server, now)
	require.False(t, open)
	require.Equal(t, 3, limit)
	require.Equal(t, pace.Recovered, tracker.TakeChanges()[0].Reason)
}

// Guards against a host without requests for a service that holds back at a server which the others have long
// found to be fast.
func TestHostThatLearnsLate(t *testing.T) {
	hosts := newHosts(t, 12, 10, 48)
	last := &hosts.members[9]
	last.Peers.Running = 48
	full := func() bool { return hosts.trackers[0].Full("engines", hosts.members, hosts.now)[last.ID] }
	require.True(t, full())
	hosts.now = hosts.now.Add(time.Second)
	require.False(t, full())
	require.Zero(t, hosts.trackers[0].Limited())
}
