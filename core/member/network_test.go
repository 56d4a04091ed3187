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

// network joins members in memory: a fixed delay, losses, cuts and frozen
// hosts. It runs in a synctest bubble and drives the members' ticks itself.
type network struct {
	t      *testing.T
	random *rand.Rand
	nodes  map[string]*node // by link address
	order  []*node
	queue  deliveries
	sent   int
	loss   float64
	// measured has the messages encoded, counted and decoded.
	measured bool
	cut      func(from, to host.Host) bool
	nextAt   time.Time
}

// node is one running process.
type node struct {
	member  *member.Member
	host    host.Host
	running bool
	frozen  bool
	held    []delivery
	bytes   int
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

// describe returns host number i, dealt over the failure domains, two of which
// make a region.
func describe(i, domains int) host.Host {
	domain := i % domains
	return host.Host{
		Name: fmt.Sprintf("entry-%03d", i), Region: fmt.Sprintf("region-%d", domain/2),
		FailureDomain: fmt.Sprintf("domain-%02d", domain),
		LinkAddress:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		EntryAddress:  fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
	}
}

// start runs a process; one that runs under the same address is gone.
func (network *network) start(self host.Host, seeds []host.Host) *node {
	started := &node{host: self, running: true}
	var err error
	started.member, err = member.New(member.Options{
		Self: self, Seeds: seeds,
		Send: func(to host.Host, message member.Message) { network.send(started, to, message) },
		// The name is part of the seed so that hosts choose differently.
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

// startAll runs count hosts over the failure domains, seeded by the first.
func (network *network) startAll(count, domains int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, network.start(describe(i, domains), []host.Host{describe(0, domains), describe(1, domains)}))
	}
	return nodes
}

func (network *network) send(from *node, to host.Host, message member.Message) {
	if !from.running {
		return
	}
	network.sent++
	if network.measured {
		data, err := cbor.Marshal(message)
		require.NoError(network.t, err)
		from.bytes += len(data)
		var decoded member.Message
		require.NoError(network.t, cbor.Unmarshal(data, &decoded))
		message = decoded
	}
	if network.random.Float64() < network.loss || (network.cut != nil && network.cut(from.host, to)) {
		return
	}
	heap.Push(&network.queue, delivery{time.Now().Add(latency), network.sent, from.host, to.LinkAddress, message})
}

// run lets time pass.
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
		if node.running && !node.frozen {
			node.member.Tick()
		}
	}
}

func (network *network) deliver(item delivery) {
	to := network.nodes[item.to]
	switch {
	case to == nil || !to.running:
	case to.frozen:
		to.held = append(to.held, item)
	default:
		to.member.Receive(item.from.Name, item.message)
	}
}

// wake lets a frozen host run again; what waited in its buffers comes first.
func (network *network) wake(node *node) {
	node.frozen = false
	for _, item := range node.held {
		node.member.Receive(item.from.Name, item.message)
	}
	node.held = nil
}

// until runs until a condition holds and returns the time it took.
func (network *network) until(bound time.Duration, what string, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > bound {
			require.Failf(network.t, "not in time", "%s within %s", what, bound)
		}
		network.run(tick)
	}
	return time.Since(begin)
}

// state returns how one host sees another.
func (node *node) state(name string) host.State {
	for _, known := range node.member.Hosts() {
		if known.Name == name {
			return known.State
		}
	}
	return ""
}

// agree reports whether all running hosts see exactly them alive.
func (network *network) agree() bool {
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
		for _, known := range alive {
			if known.State != host.Alive {
				return false
			}
		}
	}
	return true
}

// count returns how many records of all hosts are in a state.
func (network *network) count(state host.State) int {
	count := 0
	for _, node := range network.order {
		for _, known := range node.member.Hosts() {
			if node.running && known.State == state {
				count++
			}
		}
	}
	return count
}
