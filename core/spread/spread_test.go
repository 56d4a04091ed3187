package spread_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/spread"
	"primrosegw/core/store"
)

// group is a set of hosts in one failure domain. The test delivers their
// messages.
type group struct {
	hosts    []host.Host
	nodes    map[string]*node
	inFlight []delivery
}

type node struct {
	distributor        *spread.Distributor
	applied            []heads.Heads
	rejectedGeneration uint64
}

type delivery struct {
	from, to host.Host
	message  spread.Message
}

// newGroup returns count hosts, the first two of which are relays.
func newGroup(t require.TestingT, count int) *group {
	group := &group{nodes: map[string]*node{}}
	for i := range count {
		group.hosts = append(group.hosts, host.Host{
			Name: fmt.Sprintf("entry-%d", i), FailureDomain: "domain-0", Incarnation: 1, State: host.Alive,
		})
	}
	for i, self := range group.hosts {
		node := &node{}
		var err error
		node.distributor, err = spread.New(spread.Options{
			Self:   func() host.Host { return self },
			Hosts:  func() []host.Host { return group.hosts },
			Relays: func(string) []string { return []string{"entry-0", "entry-1"} },
			Send: func(to host.Host, message spread.Message) {
				group.inFlight = append(group.inFlight, delivery{self, to, message})
			},
			Apply: func(next heads.Heads, document []byte) error {
				if next.Generation == node.rejectedGeneration {
					return errors.New("not understood")
				}
				if heads.Digest(document) != next.Production.Digest && document != nil {
					return errors.New("another generation's document")
				}
				node.applied = append(node.applied, next)
				return nil
			},
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		require.NoError(t, err)
		group.nodes[self.Name] = node
	}
	return group
}

// distributor returns the distributor of the host at an index.
func (group *group) distributor(i int) *spread.Distributor {
	return group.nodes[group.hosts[i].Name].distributor
}

// deliver delivers one message.
func (group *group) deliver(sent delivery) {
	group.nodes[sent.to.Name].distributor.Receive(sent.from, sent.message)
}

// exchangeHeartbeats delivers a heartbeat from each host to every other host.
func (group *group) exchangeHeartbeats() {
	for i := range group.hosts {
		for j, other := range group.hosts {
			if i != j {
				generation, _ := group.distributor(j).Applied()
				group.distributor(i).RecordHeartbeat(other, generation)
			}
		}
	}
}

// runFor runs heartbeats, timers and message delivery for a period.
func (group *group) runFor(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		group.exchangeHeartbeats()
		for i := range group.hosts {
			group.distributor(i).Tick()
		}
		for len(group.inFlight) > 0 {
			next := group.inFlight[0]
			group.inFlight = group.inFlight[1:]
			group.deliver(next)
		}
	}
}

// testHeads returns the heads of a generation and their document. Every other
// document is too large to be sent inline with a repair.
func testHeads(generation uint64) (heads.Heads, []byte) {
	document := fmt.Appendf(nil, "document %d", generation/2)
	if generation%4 > 1 {
		random := rand.New(rand.NewPCG(generation/2, 1))
		for range 8 << 10 {
			document = append(document, byte(random.Uint32()))
		}
	}
	return heads.Heads{
		Environment: "test", Generation: generation, Sequence: generation,
		Production: heads.AcceptedDocument{Digest: heads.Digest(document), Lot: "lot", Generation: generation},
	}, document
}

// A host must not return to an older generation or apply one twice when
// messages are lost, duplicated or reordered.
func TestGenerationsOnlyRiseInAnyOrderOfMessages(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 50, 300).Draw(rt, "steps")
		var violation error
		synctest.Test(t, func(*testing.T) {
			group := newGroup(rt, 4)
			generation := uint64(0)
			for _, step := range steps {
				kind, choice := step%8, step/8
				switch {
				case kind == 0:
					generation++
					next, document := testHeads(generation)
					group.distributor(choice%2).UpdateFromStore(next, document)
				case kind == 1:
					// A stale value from the service, as returned by a slow
					// read.
					next, document := testHeads(max(1, generation/2))
					group.distributor(choice%4).UpdateFromStore(next, document)
				case kind == 2:
					time.Sleep(time.Duration(choice%400) * time.Millisecond)
					group.exchangeHeartbeats()
					group.distributor(choice % 4).Tick()
				case len(group.inFlight) > 0:
					at := choice % len(group.inFlight)
					next := group.inFlight[at]
					if kind != 3 {
						// Kind 3 delivers a copy, so the message is delivered
						// again later.
						group.inFlight = slices.Delete(group.inFlight, at, at+1)
					}
					if kind != 4 {
						group.deliver(next)
					}
				}
			}
			group.runFor(5 * time.Second)
			violation = group.checkApplied(generation)
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// checkApplied returns an error unless each host applied increasing generations
// that end at the last one.
func (group *group) checkApplied(last uint64) error {
	for name, node := range group.nodes {
		previous := uint64(0)
		for _, applied := range node.applied {
			if applied.Generation <= previous {
				return fmt.Errorf("%s applied %d after %d", name, applied.Generation, previous)
			}
			previous = applied.Generation
		}
		if previous != last {
			return fmt.Errorf("%s ended at %d, want %d", name, previous, last)
		}
	}
	return nil
}

// Repairs must stop once another host has sent one, and must not flood a host
// that rejects a generation.
func TestRepairsAreCancelledAndSlowDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 6)
		group.nodes["entry-5"].rejectedGeneration = 2
		next, document := testHeads(2)
		group.distributor(0).UpdateFromStore(next, document)
		group.runFor(2 * time.Second)
		for i := range 5 {
			generation, digest := group.distributor(i).Applied()
			require.Equal(t, uint64(2), generation)
			require.Equal(t, next.Production.Digest, digest)
		}
		repairs := 0
		for range 60 {
			time.Sleep(time.Second)
			group.exchangeHeartbeats()
			for i := range group.hosts {
				group.distributor(i).Tick()
			}
			for _, sent := range group.inFlight {
				require.Equal(t, "entry-5", sent.to.Name, "a repair of a host that was not behind")
				repairs++
			}
			group.inFlight = nil
		}
		require.Less(t, repairs, 60, "five hosts may repair one that rejects, ever more slowly")
		_, waiting := group.distributor(0).Confirmed(2)
		require.Equal(t, []string{"entry-5"}, waiting)
	})
}

// A tampered or corrupted document must not be put in force.
func TestDocumentThatDoesNotMatchIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 2)
		next, _ := testHeads(2)
		message := spread.Message{
			Kind: spread.Repair, From: "entry-0", Incarnation: 1, Generation: 2, Heads: &next, Compressed: []byte("damaged"),
		}
		group.deliver(delivery{group.hosts[0], group.hosts[1], message})
		require.Empty(t, group.nodes["entry-1"].applied)
		message.From = "entry-7"
		group.deliver(delivery{group.hosts[0], group.hosts[1], message})
		require.Empty(t, group.nodes["entry-1"].applied)
	})
}

// A confirmation must not count a host that did not answer or a process that no
// longer runs, and every unconfirmed host must be queried.
func TestConfirmationAsksAndNamesTheWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 4)
		next, document := testHeads(3)
		for i := range 3 {
			group.distributor(i).UpdateFromStore(next, document)
		}
		group.inFlight = nil
		confirmed, waiting := group.distributor(0).Confirmed(3)
		require.Equal(t, []string{"entry-0"}, confirmed)
		require.Len(t, waiting, 3)
		group.distributor(0).Tick()
		for len(group.inFlight) > 0 {
			next := group.inFlight[0]
			group.inFlight = group.inFlight[1:]
			if next.message.Kind != spread.Repair {
				group.deliver(next)
			}
		}
		confirmed, waiting = group.distributor(0).Confirmed(3)
		require.Equal(t, []string{"entry-0", "entry-1", "entry-2"}, confirmed)
		require.Equal(t, []string{"entry-3"}, waiting)
		group.hosts[1].Incarnation++
		group.hosts[3].State = host.Dead
		_, waiting = group.distributor(0).Confirmed(3)
		require.Equal(t, []string{"entry-1"}, waiting, "the new process has not confirmed")
		require.Equal(t, []string{"entry-3"}, group.distributor(0).Unreached(3))
	})
}

// An isolated host must stop accepting work, and a host must not count as
// isolated while a peer or the service is reachable.
func TestHostWithoutPeersAndServiceIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 2)
		time.Sleep(60 * time.Second)
		require.False(t, group.distributor(0).Isolated())
		time.Sleep(time.Second)
		require.True(t, group.distributor(0).Isolated())
		group.distributor(0).RecordStoreContact()
		require.False(t, group.distributor(0).Isolated())
		time.Sleep(59 * time.Second)
		group.distributor(0).RecordHeartbeat(group.hosts[1], 0)
		time.Sleep(59 * time.Second)
		require.False(t, group.distributor(0).Isolated())
	})
}

// fakeStore is a key-value service with a single writer and simulated outages.
type fakeStore struct {
	store.Store

	mutex       sync.Mutex
	entries     map[string]store.Entry
	events      chan store.Event
	unavailable bool
	calls       int
}

// withLock runs a function that reads or changes the service while holding its
// mutex.
func (service *fakeStore) withLock(run func()) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	run()
}

func (service *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls++
	if service.unavailable {
		return store.Entry{}, fault.New("service.get", store.Unavailable, key)
	}
	entry, found := service.entries[key]
	if !found {
		return entry, fault.New("service.get", store.Absent, key)
	}
	return entry, nil
}

func (service *fakeStore) Watch(context.Context, string, int64) (<-chan store.Event, error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls++
	service.events = make(chan store.Event, 1)
	return service.events, nil
}

// put stores heads and their document.
func (service *fakeStore) put(t *testing.T, generation uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	next, document := testHeads(generation)
	value, err := next.Encode()
	require.NoError(t, err)
	service.entries[heads.DocumentKey("test", next.Production.Digest)] = store.Entry{Value: document, Revision: 1}
	entry := store.Entry{Key: heads.Key("test"), Value: value, Revision: int64(generation)}
	service.entries[entry.Key] = entry
	if service.events != nil && !service.unavailable {
		service.events <- store.Event{Entry: entry}
	}
}

// A relay must not miss a change after an outage or a silent watch, and must
// not overload the service while it is down.
func TestWatcherFollowsThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 1)
		service := &fakeStore{entries: map[string]store.Entry{}}
		random := rand.New(rand.NewPCG(1, 1))
		client, err := heads.New(heads.Options{Store: service, Environment: "test", Random: random})
		require.NoError(t, err)
		watcher, err := spread.NewWatcher(spread.WatcherOptions{
			Spread: group.distributor(0), Client: client, Store: service, Environment: "test", Random: random,
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		applied := func() uint64 {
			synctest.Wait()
			generation, _ := group.distributor(0).Applied()
			return generation
		}
		time.Sleep(time.Second)
		service.put(t, 1)
		require.Equal(t, uint64(1), applied(), "a change seen by the watch")
		before := 0
		service.withLock(func() {
			service.unavailable = true
			service.events <- store.Event{Err: errors.New("connection lost")}
			before = service.calls
		})
		time.Sleep(5 * time.Minute)
		service.withLock(func() { require.Less(t, service.calls-before, 150) })
		require.True(t, group.distributor(0).Isolated())
		service.put(t, 2)
		service.withLock(func() { service.unavailable = false })
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(2), applied(), "a change during the outage")
		service.withLock(func() { service.events = nil })
		service.put(t, 3)
		time.Sleep(21 * time.Second)
		require.Equal(t, uint64(3), applied(), "a change that the watch missed")
		cancel()
		synctest.Wait()
	})
}
