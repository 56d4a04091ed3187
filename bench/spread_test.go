package bench_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/spread"
)

// spreadBound is the time within which a document is in force everywhere.
const spreadBound = 7 * time.Second

// spreadResult is what one change of the document cost.
type spreadResult struct {
	last            time.Duration
	messages, bytes int
}

// comparison sums up the results of each policy over all sizes, losses and
// faults: the time to the last host of one change varies by a third.
type comparison struct {
	mutex sync.Mutex
	sums  map[spread.Policy]spreadResult
}

// add sums up a result.
func (comparison *comparison) add(policy spread.Policy, result spreadResult) {
	comparison.mutex.Lock()
	defer comparison.mutex.Unlock()
	sum := comparison.sums[policy]
	sum.last += result.last
	sum.messages += result.messages
	sum.bytes += result.bytes
	comparison.sums[policy] = sum
}

// check fails if the default takes longer than repair by the relays alone, or
// over a twentieth more messages or bytes.
func (comparison *comparison) check(t *testing.T) {
	chosen, other := comparison.sums[spread.Symmetric], comparison.sums[spread.RelayOnly]
	t.Logf("symmetric %+v relay_only %+v", chosen, other)
	require.LessOrEqual(t, chosen.last, other.last)
	require.LessOrEqual(t, chosen.messages, other.messages*21/20)
	require.LessOrEqual(t, chosen.bytes, other.bytes*21/20)
}

// fleetSizes returns the numbers of hosts to measure, largest first because it
// takes longest. With -short, as under the race detector, the target size is
// left out.
func fleetSizes() []int {
	if testing.Short() {
		return []int{100, 8}
	}
	return []int{340, 100, 8}
}

// Guards against changes that reach a host late or not at all, and against a
// default policy that is worse than repair by the relays alone.
func TestSpread(t *testing.T) {
	comparison := &comparison{sums: map[spread.Policy]spreadResult{}}
	t.Run("policies", func(t *testing.T) {
		for _, hosts := range fleetSizes() {
			for _, policy := range []spread.Policy{spread.Symmetric, spread.RelayOnly} {
				t.Run(fmt.Sprintf("hosts=%d/policy=%s", hosts, policy), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { measureSpread(t, hosts, policy, comparison) })
				})
			}
		}
	})
	comparison.check(t)
}

// measureSpread makes changes at each loss and prints what they cost, then one
// while the first relay of each failure domain and one while both are gone.
func measureSpread(t *testing.T, hosts int, policy spread.Policy, comparison *comparison) {
	network := newNetwork(t, fleetOptions{hosts: hosts, seed: 1, policy: policy})
	measure := func(loss float64, fault string, seed int) {
		network.loss = loss
		network.random = rand.New(rand.NewPCG(uint64(seed), network.changes))
		result := network.change()
		line := func(value any, unit string) {
			t.Logf("measure=spread policy=%s hosts=%d loss=%.2f fault=%s seed=%d value=%v unit=%s bound=7",
				policy, hosts, loss, fault, seed, value, unit)
		}
		line(result.last.Seconds(), "s")
		line(result.messages, "messages")
		line(result.bytes, "B")
		require.LessOrEqual(t, result.last, spreadBound)
		comparison.add(policy, result)
		network.loss = 0
		network.run(500 * time.Millisecond)
	}
	seeds := 3
	if hosts > 100 {
		// One change takes seconds of computing at this size.
		seeds = 2
	}
	for _, loss := range []float64{0.01, 0.05, 0.2} {
		for seed := range seeds {
			measure(loss, "none", seed)
		}
	}
	if hosts > 2*domains {
		for _, fault := range []string{"one_relay_lost", "both_relays_lost"} {
			network.loseRelays(fault == "both_relays_lost")
			measure(0.05, fault, 0)
		}
	}
	for _, node := range network.nodes {
		require.Zero(t, node.reversals)
	}
}

// loseRelays stops the first relay of each failure domain, or both, after the
// others have got over earlier losses.
func (network *network) loseRelays(both bool) {
	for !network.joined() {
		network.run(time.Second)
	}
	lost := map[string]bool{}
	for _, node := range network.nodes {
		if node.stopped {
			continue
		}
		relays := node.member.Relays(node.host.FailureDomain)
		if node.host.Name == relays[0] || (both && node.host.Name == relays[1]) {
			lost[node.host.Name] = true
		}
	}
	for name := range lost {
		network.byName[name].stopped = true
	}
}

// change puts a new document into the service and waits until each host has
// it in force.
func (network *network) change() spreadResult {
	network.changes++
	generation := network.changes
	document := newDocument(network.t, 4*len(network.nodes), int(generation))
	began := time.Now()
	network.counted = true
	network.reset()
	network.put(generation, document)
	for !network.inForce(generation) && time.Since(began) < 2*spreadBound {
		network.run(tickPeriod)
	}
	var result spreadResult
	for _, node := range network.nodes {
		if !node.stopped {
			result.last = max(result.last, node.applied.Sub(began))
		}
	}
	if !network.inForce(generation) {
		result.last = 2 * spreadBound
	}
	// Late receipts and repairs belong to the cost.
	network.run(500 * time.Millisecond)
	result.messages, result.bytes, _ = network.totals()
	network.counted = false
	return result
}

// inForce reports whether all hosts have a generation in force.
func (network *network) inForce(generation uint64) bool {
	for _, node := range network.nodes {
		if !node.stopped && node.generation < generation {
			return false
		}
	}
	return true
}

// Guards against a host that has no document because the key-value service is
// down when it starts.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := fleetOptions{hosts: 30, seed: 2}
		network := newNetwork(t, options)
		network.change()
		network.run(10 * time.Second)
		for i := range 6 {
			began := time.Now()
			node := network.start(options.hosts+i, options)
			for node.generation == 0 && time.Since(began) < spreadBound {
				network.run(tickPeriod)
			}
			require.Equal(t, uint64(1), node.generation, "the host has no document")
			t.Logf("measure=start hosts=%d value=%.1f unit=s bound=7", options.hosts+i, time.Since(began).Seconds())
		}
	})
}

// Guards against a recall whose confirmation never ends, or ends before each
// live host has it in force.
func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 100
		network := newNetwork(t, fleetOptions{hosts: hosts, seed: 3})
		network.loss = 0.05
		network.changes++
		began := time.Now()
		network.put(network.changes, newDocument(t, hosts, 1))
		for {
			_, waiting := network.nodes[0].spread.Confirmed(network.changes)
			if len(waiting) == 0 {
				break
			}
			require.Less(t, time.Since(began), 2*spreadBound, waiting)
			network.arm(network.nodes[0])
			network.run(tickPeriod)
		}
		require.True(t, network.inForce(network.changes))
		t.Logf("measure=confirm hosts=%d loss=0.05 value=%.1f unit=s", hosts, time.Since(began).Seconds())
	})
}
