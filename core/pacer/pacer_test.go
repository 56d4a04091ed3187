package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pacer"
)

// contactTime is the time within which hosts must have learned of a limit, and window the
// time in which requests are counted.
const (
	contactTime = 3 * time.Second
	window      = 4 * time.Second
	step        = 25 * time.Millisecond
)

// cluster is a set of hosts that all have a request for one server in every step.
type cluster struct {
	hosts []*pacer.Pacer
	names []string
	// busy marks the hosts that have requests.
	busy     []bool
	server   fleet.Server
	limit    float64
	now      time.Time
	arrivals []time.Time
	inFlight []flight
	// lost is the share of the messages that are lost, random its source.
	lost   float64
	random *rand.Rand
	// frozen hosts neither send nor receive.
	frozen []bool
}

// flight is a request that the server will respond to.
type flight struct {
	host   int
	sentAt time.Time
}

func newCluster(hosts int, limit float64) *cluster {
	cluster := &cluster{server: fleet.Server{ID: "i-1"}, limit: limit, now: time.Now(), random: rand.New(rand.NewPCG(1, uint64(hosts))), frozen: make([]bool, hosts)}
	for index := range hosts {
		name := fmt.Sprint("host-", index)
		cluster.hosts, cluster.names, cluster.busy = append(cluster.hosts, pacer.New(name)), append(cluster.names, name), append(cluster.busy, true)
	}
	for _, host := range cluster.hosts {
		host.SetHosts(cluster.names)
	}
	return cluster
}

// run lets time pass. Responses take 200 ms, messages between hosts are sent every 150 ms.
func (cluster *cluster) run(duration time.Duration) {
	const latency, messageInterval = 200 * time.Millisecond, 150 * time.Millisecond
	end := cluster.now.Add(duration)
	for next := cluster.now; cluster.now.Before(end); cluster.now = cluster.now.Add(step) {
		for index, host := range cluster.hosts {
			if cluster.busy[index] && !cluster.frozen[index] && host.Take(cluster.server, cluster.now) {
				cluster.arrivals = append(cluster.arrivals, cluster.now)
				cluster.inFlight = append(cluster.inFlight, flight{index, cluster.now})
			}
		}
		for len(cluster.inFlight) > 0 && cluster.now.Sub(cluster.inFlight[0].sentAt) >= latency {
			one := cluster.inFlight[0]
			cluster.inFlight = cluster.inFlight[1:]
			cluster.hosts[one.host].Observe(cluster.server, cluster.limit, one.sentAt, cluster.now)
		}
		if !cluster.now.Before(next) {
			next = next.Add(messageInterval)
			cluster.exchange()
		}
	}
}

func (cluster *cluster) exchange() {
	for index, from := range cluster.hosts {
		if cluster.frozen[index] {
			continue
		}
		reports := from.PendingReports(cluster.now)
		for other, to := range cluster.hosts {
			if len(reports) > 0 && to != from && !cluster.frozen[other] && cluster.random.Float64() >= cluster.lost {
				to.ApplyReports(reports, cluster.now)
			}
		}
	}
}

// largestWindow returns the largest number of requests in any window that starts after a
// time.
func (cluster *cluster) largestWindow(after time.Time) int {
	largest := 0
	for index, start := range cluster.arrivals {
		count := 0
		for _, arrival := range cluster.arrivals[index:] {
			if !start.Before(after) && arrival.Sub(start) < window {
				count++
			}
		}
		largest = max(largest, count)
	}
	return largest
}

// allowed is the number of requests that a server with a limit may get in a window.
func allowed(limit float64) int { return int(1.5*limit*window.Seconds()) + 5 }

// Guards against hosts that together exceed a server's limit, and against a limit that
// leaves the server idle, for fleets and limits of all sizes.
func TestHostsTogetherKeepToALimit(t *testing.T) {
	for _, hosts := range []int{1, 3, 8, 73, 91, 195} {
		for _, limit := range []float64{0.3, 1, 1.2, 1.9, 7, 40} {
			cluster := newCluster(hosts, limit)
			started := cluster.now
			cluster.run(contactTime + 20*time.Second)
			require.LessOrEqual(t, cluster.largestWindow(started.Add(contactTime)), allowed(limit), "%d hosts, limit %g", hosts, limit)
			late := 0
			for _, arrival := range cluster.arrivals {
				if arrival.After(cluster.now.Add(-10 * time.Second)) {
					late++
				}
			}
			require.GreaterOrEqual(t, late, int(0.8*limit*10)-1, "%d hosts, limit %g", hosts, limit)
		}
	}
}

// Guards against a server that gets nothing because its sender has no requests.
func TestIdleSenderIsReplaced(t *testing.T) {
	cluster := newCluster(8, 1.2)
	cluster.run(contactTime)
	for index := range cluster.busy {
		cluster.busy[index] = index == 3
	}
	before := len(cluster.arrivals)
	cluster.run(2 * time.Minute)
	require.Greater(t, len(cluster.arrivals), before+2)
}

// Guards against a limit that is kept when the server names none any longer, and against one
// that is dropped because of a response to an older request.
func TestLimitEndsWithAResponseWithoutOne(t *testing.T) {
	cluster := newCluster(8, 1)
	cluster.run(contactTime)
	before := len(cluster.arrivals)
	require.False(t, cluster.hosts[0].Observe(cluster.server, 0, cluster.now.Add(-time.Minute), cluster.now))
	cluster.run(contactTime)
	require.LessOrEqual(t, len(cluster.arrivals)-before, allowed(1))
	before = len(cluster.arrivals)
	cluster.limit = 0
	cluster.run(contactTime)
	require.Greater(t, len(cluster.arrivals)-before, 100)
}

// Guards against a burst when hosts disagree on the list of hosts, as one has left.
func TestHostsThatDisagreeKeepToALimit(t *testing.T) {
	for _, limit := range []float64{1, 5, 40} {
		for removed := range 8 {
			cluster := newCluster(8, limit)
			started := cluster.now
			cluster.run(contactTime)
			for index, host := range cluster.hosts {
				if index%2 == 0 {
					host.SetHosts(append(append([]string{}, cluster.names[:removed]...), cluster.names[removed+1:]...))
				}
			}
			cluster.run(window)
			require.LessOrEqual(t, cluster.largestWindow(started.Add(contactTime)), allowed(limit), "limit %g, without host %d", limit, removed)
		}
	}
}

// Guards against exceeding a limit while messages are lost, a host is frozen and goes on, and
// another one restarts and knows neither the limit nor, at first, the other hosts.
func TestDisturbedHostsKeepToALimit(t *testing.T) {
	for _, hosts := range []int{3, 8, 91, 195} {
		for _, limit := range []float64{1, 5, 40} {
			cluster := newCluster(hosts, limit)
			cluster.lost = 0.3
			started := cluster.now
			cluster.run(contactTime)
			cluster.frozen[0] = true
			cluster.run(2 * time.Second)
			cluster.hosts[1] = pacer.New(cluster.names[1])
			cluster.busy[1] = false
			cluster.run(time.Second)
			cluster.hosts[1].SetHosts(cluster.names)
			cluster.busy[1], cluster.frozen[0] = true, false
			cluster.run(2 * window)
			require.LessOrEqual(t, cluster.largestWindow(started.Add(contactTime)), allowed(limit), "%d hosts, limit %g", hosts, limit)
		}
	}
}

// Guards against messages lost: a change is reported several times.
func TestLostReportsOfLimits(t *testing.T) {
	local, other, now := pacer.New("a"), pacer.New("b"), time.Now()
	server := fleet.Server{ID: "i-1"}
	require.True(t, local.Observe(server, 2, now, now))
	require.Len(t, local.PendingReports(now), 1)
	now = now.Add(150 * time.Millisecond)
	require.Equal(t, 1, other.ApplyReports(local.PendingReports(now), now))
	require.Positive(t, other.Wait(server, now))
	require.Empty(t, other.PendingReports(now), "a report is passed on")
	require.Empty(t, local.PendingReports(now.Add(time.Minute)))
}

// Guards against the limit of a server's process that applies to the next process.
func TestNewProcessHasNoLimit(t *testing.T) {
	local, now := pacer.New("a"), time.Now()
	server := fleet.Server{ID: "i-1", Started: now.Add(-time.Hour)}
	local.Observe(server, 1, now, now)
	require.Positive(t, local.Wait(server, now))
	server.Started = now
	require.Zero(t, local.Wait(server, now))
	require.True(t, local.Take(server, now))
}
