package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"primrosegw/core/host"
	"primrosegw/core/member"
)

const (
	tick    = 100 * time.Millisecond
	latency = 2 * time.Millisecond
)

// network is an in-memory network between members with a fixed latency, message loss,
// partitions and paused hosts. It runs in a synctest bubble and calls the members' Tick
// itself.
type network struct {
	t      *testing.T
	random *rand.Rand
	nodes  map[string]*node // by link address
	order  []*node
	queue  deliveries
	sent   int
	loss   float64
	// encoded makes send encode, count and decode each message.
	encoded     bool
	partitioned func(from, to host.Host) bool
	nextAt      time.Time
}

// node is a running process.
type node struct {
	member   *member.Member
	host     host.Host
	running  bool
	paused   bool
	buffered []delivery
	bytes    int
}

type delivery struct {
	at      time.Time
	number  int
	from    host.Host
	to      string
	message member.Message
}

type deliveries []delivery

func (queue deliveries) Len() int { return len(queue) }
func (queue deliveries) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].number < queue[j].number
	}
	return queue[i].at.Before(queue[j].at)
}
func (queue deliveries) Swap(i, j int)  { queue[i], queue[j] = queue[j], queue[i] }
func (queue *deliveries) Push(item any) { *queue = append(*queue, item.(delivery)) }
func (queue *deliveries) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	*queue = (*queue)[:last]
	return item
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{t: t, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, nextAt: time.Now()}
}

// testHost returns host number i. Hosts are assigned to the failure domains in turn; two
// domains form a region.
func testHost(i, domains int) host.Host {
	domain := i % domains
	return host.Host{
		Name: fmt.Sprintf("entry-%03d", i), Region: fmt.Sprintf("region-%d", domain/2),
		FailureDomain: fmt.Sprintf("domain-%02d", domain),
		LinkAddress:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		EntryAddress:  fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
	}
}

// startNode starts a process and stops any that runs under the same address.
func (network *network) startNode(self host.Host, seeds []host.Host) *node {
	started := &node{host: self, running: true}
	var err error
	started.member, err = member.New(member.Options{
		Self: self, Seeds: seeds,
		Send: func(to host.Host, message member.Message) { network.send(started, to, message) },
		// Each host gets its own seed so that hosts make different random choices.
		Random: rand.New(rand.NewPCG(network.random.Uint64(), 2)),
	})
	require.NoError(network.t, err)
	if old := network.nodes[self.LinkAddress]; old != nil {
		old.running = false
	}
	network.nodes[self.LinkAddress] = started
	network.order = append(network.order, started)
	return started
}

// startAll starts count hosts, assigned to the failure domains in turn, with the first
// two as seeds.
func (network *network) startAll(count, domains int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, network.startNode(testHost(i, domains), []host.Host{testHost(0, domains), testHost(1, domains)}))
	}
	return nodes
}

func (network *network) send(from *node, to host.Host, message member.Message) {
	if !from.running {
		return
	}
	network.sent++
	if network.encoded {
		data, err := cbor.Marshal(message)
		require.NoError(network.t, err)
		from.bytes += len(data)
		var decoded member.Message
		require.NoError(network.t, cbor.Unmarshal(data, &decoded))
		message = decoded
	}
	if network.random.Float64() < network.loss || (network.partitioned != nil && network.partitioned(from.host, to)) {
		return
	}
	heap.Push(&network.queue, delivery{time.Now().Add(latency), network.sent, from.host, to.LinkAddress, message})
}

// run advances the simulated time by a period.
func (network *network) run(period time.Duration) {
	end := time.Now().Add(period)
	for {
		next := network.nextAt
		if len(network.queue) > 0 && network.queue[0].at.Before(next) {
			next = network.queue[0].at
		}
		if next.After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(next))
		if next.Equal(network.nextAt) {
			network.nextAt = network.nextAt.Add(tick)
			network.tickAll()
			continue
		}
		network.deliver(heap.Pop(&network.queue).(delivery))
	}
}

func (network *network) tickAll() {
	for _, node := range network.order {
		if node.running && !node.paused {
			node.member.Tick()
		}
	}
}

func (network *network) deliver(item delivery) {
	to := network.nodes[item.to]
	switch {
	case to == nil || !to.running:
	case to.paused:
		to.buffered = append(to.buffered, item)
	default:
		to.member.Receive(item.from.Name, item.message)
	}
}

// resume lets a paused host run again. It first receives the messages buffered meanwhile.
func (network *network) resume(node *node) {
	node.paused = false
	for _, item := range node.buffered {
		node.member.Receive(item.from.Name, item.message)
	}
	node.buffered = nil
}

// runUntil runs until the condition holds and returns the elapsed time.
func (network *network) runUntil(bound time.Duration, what string, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > bound {
			require.Failf(network.t, "timeout", "%s: not within %s", what, bound)
		}
		network.run(tick)
	}
	return time.Since(begin)
}

// state returns the state of a host as seen by this node.
func (node *node) state(name string) host.State {
	for _, entry := range node.member.Hosts() {
		if entry.Name == name {
			return entry.State
		}
	}
	return ""
}

// converged reports whether every running host lists as many hosts as are running, all of
// them alive.
func (network *network) converged() bool {
	var want []string
	for _, node := range network.order {
		if node.running {
			want = append(want, node.host.Name)
		}
	}
	for _, node := range network.order {
		if !node.running {
			continue
		}
		alive := node.member.Alive()
		if len(alive) != len(want) {
			return false
		}
		for _, entry := range alive {
			if entry.State != host.Alive {
				return false
			}
		}
	}
	return true
}

// countState returns the number of records on all running hosts with the given state.
func (network *network) countState(state host.State) int {
	count := 0
	for _, node := range network.order {
		for _, entry := range node.member.Hosts() {
			if node.running && entry.State == state {
				count++
			}
		}
	}
	return count
}
