package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/host"
	"primrosegw/core/roster"
)

func names(hosts []host.Host) []string {
	var names []string
	for _, host := range hosts {
		names = append(names, host.Name)
	}
	return names
}

// Live must not contain leaving hosts. Hosts whose entries lapsed in a store outage
// must stay for the grace period.
func TestLive(t *testing.T) {
	now := time.Now()
	hosts := roster.New(host.Host{Name: "b", State: host.Alive})
	require.True(t, hosts.Put(host.Host{Name: "a", State: host.Alive, Incarnation: 5}))
	require.False(t, hosts.Put(host.Host{Name: "a", State: host.Alive, Incarnation: 5}))
	require.True(t, hosts.Put(host.Host{Name: "a", State: host.Alive, Incarnation: 4}))
	hosts.Put(host.Host{Name: "b", State: host.Alive})
	hosts.Put(host.Host{Name: "c", State: host.Leaving})
	require.Equal(t, []string{"a", "b"}, names(hosts.Live(now)))

	hosts.Remove("a", true, now)
	require.Equal(t, []string{"a", "b"}, names(hosts.Live(now.Add(time.Second))))
	hosts.Remove("a", true, now.Add(time.Second))
	require.Equal(t, []string{"b"}, names(hosts.Live(now.Add(roster.MissingHostGrace+time.Millisecond))))

	hosts.Put(host.Host{Name: "a", State: host.Alive})
	hosts.Remove("a", false, now)
	hosts.MarkLeaving()
	require.Empty(t, hosts.Live(now))
	require.ElementsMatch(t, []string{"b", "c"}, hosts.Names())
}

// Each failure domain must have watchers of the store, and in a large fleet only
// two of its hosts may watch, as each watcher costs the store calls.
func TestWatchers(t *testing.T) {
	now := time.Now()
	for _, size := range []int{8, 60} {
		watchers := map[string]int{}
		for own := range size {
			hosts := roster.New(testHost(own))
			for other := range size {
				hosts.Put(testHost(other))
			}
			if hosts.IsWatcher(now) {
				watchers[testHost(own).FailureDomain]++
			}
			require.Len(t, hosts.DomainPeers(now), size/4-1)
		}
		for _, domain := range []string{"0", "1", "2", "3"} {
			require.Equal(t, 2, watchers[domain], "%d hosts", size)
		}
	}
}

// All hosts together must not open more connections to a server than it accepts,
// and entry hosts must get more than the minimum of a standby host.
func TestConnections(t *testing.T) {
	now := time.Now()
	const limit = 690
	for _, size := range []int{1, 8, 60, 200} {
		total, most := 0, 0
		for own := range size {
			hosts := roster.New(testHost(own))
			for other := range size {
				hosts.Put(testHost(other))
			}
			for _, busiest := range []int{0, 700, 100_000} {
				connections := hosts.Quota(now, busiest).Connections(limit)
				require.GreaterOrEqual(t, connections, 3)
				if busiest == 0 {
					total += connections
					most = max(most, connections)
				}
			}
		}
		require.LessOrEqual(t, total, limit, "%d hosts", size)
		if size <= 60 {
			require.GreaterOrEqual(t, most, 30, "%d hosts", size)
		}
	}
}

// Every host must receive proofs, the number of messages must not grow with the
// square of the fleet size, and standby hosts must not send to everybody.
func TestRecipientsInLargeFleets(t *testing.T) {
	now := time.Now()
	for _, size := range []int{8, 60, 300} {
		received, proofs := map[string]int{}, 0
		for own := range size {
			hosts := roster.New(testHost(own))
			for other := range size {
				hosts.Put(testHost(other))
			}
			recipients := hosts.Recipients(now, 0)
			if size <= 12 {
				require.Len(t, recipients.Loads, size-1)
			} else if !slices.Contains(names(hosts.EntryHosts(now, 0)), testHost(own).Name) {
				require.Empty(t, recipients.Loads)
			}
			if len(recipients.Loads) == 0 && !hosts.IsWatcher(now) {
				require.Len(t, recipients.Proofs, 2, "a standby host sends to the two watchers of its failure domain")
			}
			for _, other := range recipients.Proofs {
				require.NotEqual(t, testHost(own).Name, other.Name)
				received[other.Name]++
				proofs++
			}
		}
		require.Len(t, received, size, "each host receives proofs")
		require.LessOrEqual(t, proofs, 14*size)
	}
}

// testHost returns an alive host in one of four failure domains.
func testHost(index int) host.Host {
	return host.Host{Name: fmt.Sprint("host-", index), FailureDomain: fmt.Sprint(index % 4), State: host.Alive}
}

// newRoster returns a roster of size hosts, the first of which have high capacity.
func newRoster(size, highCapacity int) *roster.Roster {
	own := testHost(0)
	own.Capacity = 1
	hosts := roster.New(own)
	for index := 1; index < size; index++ {
		host := testHost(index)
		host.Capacity = 0.1
		if index < highCapacity {
			host.Capacity = 1
		}
		hosts.Put(host)
	}
	return hosts
}

// In a large fleet callers must be sent to so few hosts that each sees enough
// requests to route well. Each failure domain must have an entry host, and hosts of
// low capacity must not be entry hosts beside enough ones of high capacity.
func TestEntryHosts(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ size, strong, want int }{
		{8, 8, 8}, {8, 2, 8}, {60, 60, 16}, {300, 300, 76}, {60, 8, 8}, {60, 4, 4}, {60, 3, 60}, {30, 30, 12},
	} {
		entries := newRoster(test.size, test.strong).EntryHosts(now, 0)
		require.InDelta(t, test.want, len(entries), 3, "%+v", test)
		domains := map[string]bool{}
		for _, entry := range entries {
			domains[entry.FailureDomain] = true
			require.True(t, test.want == test.size || entry.Capacity == 1, "%+v", test)
		}
		require.Len(t, domains, 4, "%+v", test)
	}
	require.Len(t, newRoster(60, 8).EntryHosts(now, 100_000), 60)
}

// When load doubles, callers must not be sent to all hosts at once: each host would see
// too few requests to route by. The entry hosts must grow in steps, keep those that are
// entry hosts already, and take hosts of low capacity last.
func TestEntryHostsGrowInSteps(t *testing.T) {
	now := time.Now()
	hosts := newRoster(91, 18)
	var before []string
	for _, test := range []struct{ busiest, want int }{{0, 12}, {599, 12}, {600, 24}, {1300, 36}, {100_000, 91}} {
		entries := hosts.EntryHosts(now, test.busiest)
		require.InDelta(t, test.want, len(entries), 3, "%+v", test)
		strong := 0
		for _, entry := range entries {
			if entry.Capacity == 1 {
				strong++
			}
		}
		require.Equal(t, min(18, len(entries)), strong, "%+v", test)
		for _, name := range before {
			require.Contains(t, names(entries), name, "%+v", test)
		}
		before = names(entries)
	}
}

// A peak must outlast a wave of requests, and must not last for ever.
func TestPeakIsHeld(t *testing.T) {
	var peak roster.Peak
	start := time.Now()
	require.Equal(t, 5, peak.Observe(5, start))
	require.Equal(t, 700, peak.Observe(700, start.Add(time.Second)))
	require.Equal(t, 700, peak.Observe(20, start.Add(10*time.Second)))
	require.Equal(t, 20, peak.Observe(20, start.Add(11*time.Second)))
}

// Guards against callers that are sent to a host which has left, because a restored store still
// has its entry of before.
func TestHostThatLeftIsNotListedAgain(t *testing.T) {
	now := time.Now()
	hosts := roster.New(host.Host{Name: "b", State: host.Alive})
	alive := host.Host{Name: "a", State: host.Alive, Incarnation: 5}
	leaving := host.Host{Name: "a", State: host.Leaving, Incarnation: 5}
	hosts.Put(alive)
	hosts.Put(leaving)
	hosts.Put(alive)
	require.Equal(t, []string{"b"}, names(hosts.Live(now)))
	hosts.Remove("a", false, now)
	hosts.Put(alive)
	require.Equal(t, []string{"b"}, names(hosts.Live(now)))
	hosts.Remove("a", false, now)
	hosts.Put(host.Host{Name: "a", State: host.Alive, Incarnation: 6})
	require.Equal(t, []string{"a", "b"}, names(hosts.Live(now)))
}
