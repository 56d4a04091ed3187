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

// Guards against a list for callers that names hosts that leave, or that loses
// hosts whose entries lapsed with the store.
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
	require.Equal(t, []string{"b"}, names(hosts.Live(now.Add(roster.Forget+time.Millisecond))))

	hosts.Put(host.Host{Name: "a", State: host.Alive})
	hosts.Remove("a", false, now)
	hosts.Leave()
	require.Empty(t, hosts.Live(now))
	require.ElementsMatch(t, []string{"b", "c"}, hosts.Names())
}

// Guards against a fleet in which nobody waits at the store for a failure domain,
// or in which all hosts do.
func TestWatches(t *testing.T) {
	now := time.Now()
	for _, size := range []int{8, 60} {
		watchers := map[string]int{}
		for own := range size {
			hosts := roster.New(one(own))
			for other := range size {
				hosts.Put(one(other))
			}
			if hosts.Watches(now) {
				watchers[one(own).FailureDomain]++
			}
			require.Len(t, hosts.Neighbours(now), size/4-1)
		}
		for _, domain := range []string{"0", "1", "2", "3"} {
			require.Equal(t, 2, watchers[domain], "%d hosts", size)
		}
	}
}

// Guards against hosts that open more connections to a server than it takes, and
// against entry hosts that are held to the share of a host that stands by.
func TestConnections(t *testing.T) {
	now := time.Now()
	const limit = 690
	for _, size := range []int{1, 8, 60, 200} {
		total, most := 0, 0
		for own := range size {
			hosts := roster.New(one(own))
			for other := range size {
				hosts.Put(one(other))
			}
			for _, busy := range []bool{false, true} {
				share := hosts.Share(now, busy).Connections(limit)
				require.GreaterOrEqual(t, share, 3)
				if !busy {
					total += share
					most = max(most, share)
				}
			}
		}
		require.LessOrEqual(t, total, limit, "%d hosts", size)
		if size <= 60 {
			require.GreaterOrEqual(t, most, 30, "%d hosts", size)
		}
	}
}

// Guards against a host that is told nothing, against messages that grow with the
// square of the fleet, and against a standby host that tells everybody.
func TestAudienceOfLargeFleets(t *testing.T) {
	now := time.Now()
	for _, size := range []int{8, 60, 300} {
		told, words := map[string]int{}, 0
		for own := range size {
			hosts := roster.New(one(own))
			for other := range size {
				hosts.Put(one(other))
			}
			audience := hosts.Audience(now, false)
			if size <= 12 {
				require.Len(t, audience.Loads, size-1)
			} else if !slices.Contains(names(hosts.Entries(now, false)), one(own).Name) {
				require.Empty(t, audience.Loads)
			}
			if len(audience.Loads) == 0 && !hosts.Watches(now) {
				require.Len(t, audience.Words, 2, "a standby host tells the two that wait at the store for it")
			}
			for _, other := range audience.Words {
				require.NotEqual(t, one(own).Name, other.Name)
				told[other.Name]++
				words++
			}
		}
		require.Len(t, told, size, "each host is told words")
		require.LessOrEqual(t, words, 14*size)
	}
}

func one(index int) host.Host {
	return host.Host{Name: fmt.Sprint("host-", index), FailureDomain: fmt.Sprint(index % 4), State: host.Alive}
}

// fleet is hosts of which some are strong.
func fleet(size, strong int) *roster.Roster {
	own := one(0)
	own.Capacity = 1
	hosts := roster.New(own)
	for index := 1; index < size; index++ {
		host := one(index)
		host.Capacity = 0.1
		if index < strong {
			host.Capacity = 1
		}
		hosts.Put(host)
	}
	return hosts
}

// Guards against callers that are spread so thinly over a large fleet that no host
// sees enough to decide, against a failure domain without entry, and against weak
// hosts that carry as much as strong ones.
func TestEntries(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ size, strong, want int }{
		{8, 8, 8}, {8, 2, 8}, {60, 60, 16}, {300, 300, 76}, {60, 8, 8}, {60, 4, 4}, {60, 3, 60}, {30, 30, 12},
	} {
		entries := fleet(test.size, test.strong).Entries(now, false)
		require.InDelta(t, test.want, len(entries), 3, "%+v", test)
		domains := map[string]bool{}
		for _, entry := range entries {
			domains[entry.FailureDomain] = true
			require.True(t, test.want == test.size || entry.Capacity == 1, "%+v", test)
		}
		require.Len(t, domains, 4, "%+v", test)
	}
	require.Len(t, fleet(60, 8).Entries(now, true), 60)
}
