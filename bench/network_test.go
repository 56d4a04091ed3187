package bench_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/member"
	"primrosegw/core/spread"
)

const (
	environment = "bench"
	domains     = 12
	tickPeriod  = 100 * time.Millisecond
	// nearDelay is the one-way delay inside a region, farDelay between regions.
	nearDelay = 1500 * time.Microsecond
	farDelay  = 15 * time.Millisecond
	// watchDelay bounds the time until a watch reports a change.
	watchDelay = 50 * time.Millisecond
)

// network is entry hosts with real membership and spread, joined by in-memory
// links that delay and lose messages. It runs in a synctest bubble.
type network struct {
	t      *testing.T
	random *rand.Rand
	nodes  []*node
	byName map[string]*node
	queue  events
	number int
	loss   float64
	// encoded has each message pass through CBOR and counts it; counted has
	// only the spread's messages counted.
	encoded, counted bool
	// changes counts the generations put.
	changes uint64
}

// node is one host.
type node struct {
	host      host.Host
	member    *member.Member
	spread    *spread.Distributor
	summaries *summaries
	// timer is when the spread's next tick is queued.
	timer time.Time
	// applied is when the latest generation was put in force.
	applied    time.Time
	generation uint64
	reversals  int
	messages   int
	bytes      int
	stopped    bool
}

// occurrence is a message or a timer that is due.
type occurrence struct {
	at     time.Time
	number int
	run    func()
}

type events []occurrence

func (queue events) Len() int { return len(queue) }
func (queue events) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].number < queue[j].number
	}
	return queue[i].at.Before(queue[j].at)
}
func (queue events) Swap(i, j int)  { queue[i], queue[j] = queue[j], queue[i] }
func (queue *events) Push(item any) { *queue = append(*queue, item.(occurrence)) }
func (queue *events) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	(*queue)[last] = occurrence{}
	*queue = (*queue)[:last]
	return item
}

// fleetOptions describe a network.
type fleetOptions struct {
	hosts  int
	cells  int
	seed   uint64
	policy spread.Policy
}

// newNetwork starts the hosts and lets them join.
func newNetwork(t *testing.T, options fleetOptions) *network {
	network := &network{
		t: t, random: rand.New(rand.NewPCG(options.seed, 1)), byName: map[string]*node{},
	}
	for i := range options.hosts {
		network.start(i, options)
	}
	for !network.joined() {
		network.run(time.Second)
	}
	return network
}

// start adds host number i.
func (network *network) start(i int, options fleetOptions) *node {
	domain := i % domains
	node := &node{host: host.Host{
		Name: fmt.Sprintf("entry-%03d", i), Region: fmt.Sprintf("region-%d", domain*5/domains),
		FailureDomain: fmt.Sprintf("domain-%02d", domain),
		LinkAddress:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), EntryAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
	}}
	node.summaries = newSummaries(node, options.cells, options.hosts)
	network.nodes = append(network.nodes, node)
	network.byName[node.host.Name] = node
	network.addMember(node)
	network.addSpread(node, options.policy)
	phase := time.Duration(network.random.Int64N(int64(tickPeriod)))
	network.after(phase, func() { network.tick(node) })
	return node
}

// addMember gives a node its membership.
func (network *network) addMember(node *node) {
	var err error
	node.member, err = member.New(member.Options{
		Self: node.host, Seeds: []host.Host{network.nodes[0].host, network.nodes[len(network.nodes)/2].host},
		Random: rand.New(rand.NewPCG(network.random.Uint64(), 1)),
		Send: func(to host.Host, message member.Message) {
			other, lost := network.transfer(node, to, &message)
			if lost {
				return
			}
			network.after(delay(node.host, to), func() {
				other.member.Receive(node.host.Name, message)
				network.arm(other)
			})
		},
		Applied: func() (uint64, string) { return node.spread.Applied() },
		Extra:   func(host.Host) []byte { return node.summaries.pack() },
		OnMessage: func(from host.Host, message member.Message) {
			node.spread.RecordHeartbeat(from, message.Generation)
			node.summaries.merge(message.Extra)
		},
	})
	require.NoError(network.t, err)
}

// addSpread gives a node its spread.
func (network *network) addSpread(node *node, policy spread.Policy) {
	var err error
	node.spread, err = spread.New(spread.Options{
		Self: node.member.Self, Hosts: node.member.Hosts, Relays: node.member.Relays, Policy: policy,
		Random: rand.New(rand.NewPCG(network.random.Uint64(), 2)),
		Send: func(to host.Host, message spread.Message) {
			other, lost := network.transfer(node, to, &message)
			if lost {
				return
			}
			from := node.member.Self()
			network.after(delay(node.host, to), func() {
				other.spread.Receive(from, message)
				network.arm(other)
			})
		},
		Apply: func(next heads.Heads, _ []byte) error {
			if next.Generation <= node.generation {
				node.reversals++
			}
			node.generation, node.applied = next.Generation, time.Now()
			return nil
		},
	})
	require.NoError(network.t, err)
}

// delay returns the one-way delay between two hosts.
func delay(from, to host.Host) time.Duration {
	if from.Region == to.Region {
		return nearDelay
	}
	return farDelay
}

// transfer counts a message, passes it through CBOR and decides whether it is
// lost.
func (network *network) transfer(from *node, to host.Host, message any) (*node, bool) {
	_, spreads := message.(*spread.Message)
	if network.encoded || (network.counted && spreads) {
		from.messages++
		data, err := cbor.Marshal(message)
		require.NoError(network.t, err)
		from.bytes += len(data)
		decode(network.t, data, message)
	}
	other := network.byName[to.Name]
	lost := other == nil || other.stopped || from.stopped || network.random.Float64() < network.loss
	return other, lost
}

// decode replaces a message by its copy out of CBOR.
func decode(t *testing.T, data []byte, message any) {
	switch message := message.(type) {
	case *member.Message:
		*message = member.Message{}
		require.NoError(t, cbor.Unmarshal(data, message))
	case *spread.Message:
		*message = spread.Message{}
		require.NoError(t, cbor.Unmarshal(data, message))
	}
}

// after queues a function.
func (network *network) after(period time.Duration, run func()) {
	network.number++
	heap.Push(&network.queue, occurrence{time.Now().Add(period), network.number, run})
}

// tick runs a node's timers and queues the next tick.
func (network *network) tick(node *node) {
	if node.stopped {
		return
	}
	node.member.Tick()
	network.arm(node)
	network.after(tickPeriod, func() { network.tick(node) })
}

// arm queues the spread's next tick if it is earlier than the queued one.
func (network *network) arm(node *node) {
	next := node.spread.NextDeadline()
	if !node.timer.IsZero() && !next.Before(node.timer) {
		return
	}
	if time.Until(next) > tickPeriod {
		return
	}
	node.timer = next
	network.after(max(0, time.Until(next)), func() {
		node.timer = time.Time{}
		node.spread.Tick()
		network.arm(node)
	})
}

// run lets time pass.
func (network *network) run(period time.Duration) {
	end := time.Now().Add(period)
	for len(network.queue) > 0 && !network.queue[0].at.After(end) {
		next := heap.Pop(&network.queue).(occurrence)
		if wait := time.Until(next.at); wait > 0 {
			time.Sleep(wait)
		}
		next.run()
	}
	time.Sleep(time.Until(end))
}

// joined reports whether all hosts know all others.
func (network *network) joined() bool {
	for _, node := range network.nodes {
		if !node.stopped && len(node.member.Alive()) != network.running() {
			return false
		}
	}
	return true
}

// running returns the number of hosts that run.
func (network *network) running() int {
	count := 0
	for _, node := range network.nodes {
		if !node.stopped {
			count++
		}
	}
	return count
}

// reset sets the counts to zero.
func (network *network) reset() {
	for _, node := range network.nodes {
		node.messages, node.bytes = 0, 0
	}
}

// totals returns the sums of the counts and the largest bytes of one host.
func (network *network) totals() (messages, bytes, most int) {
	for _, node := range network.nodes {
		messages += node.messages
		bytes += node.bytes
		most = max(most, node.bytes)
	}
	return messages, bytes, most
}

// put lets the service have a new generation: each relay learns of it from its
// watch within 50 ms and reads the document. A host that becomes a relay later
// reads it within a second.
func (network *network) put(generation uint64, document []byte) {
	next := heads.Heads{
		Environment: environment, Generation: generation, Sequence: generation,
		Production: heads.AcceptedDocument{Digest: heads.Digest(document), Lot: "lot", Generation: generation},
	}
	network.inform(next, document, watchDelay, int(spreadBound/time.Second))
}

// inform lets the relays read the heads within a time, and again each second.
func (network *network) inform(next heads.Heads, document []byte, within time.Duration, rounds int) {
	for _, node := range network.nodes {
		if node.stopped || node.generation >= next.Generation || !node.spread.IsRelay() {
			continue
		}
		network.after(time.Duration(network.random.Int64N(int64(within))), func() {
			if !node.stopped {
				node.spread.UpdateFromStore(next, document)
				network.arm(node)
			}
		})
	}
	if rounds > 0 {
		network.after(time.Second, func() { network.inform(next, document, time.Second, rounds-1) })
	}
}
