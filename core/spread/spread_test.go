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

// group is some hosts of one failure domain whose messages the test delivers.
type group struct {
	hosts []host.Host
	nodes map[string]*node
	mail  []letter
}

type node struct {
	spread  *spread.Spread
	applied []heads.Heads
	refuses uint64
}

type letter struct {
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
		node.spread, err = spread.New(spread.Options{
			Self:   func() host.Host { return self },
			Hosts:  func() []host.Host { return group.hosts },
			Relays: func(string) []string { return []string{"entry-0", "entry-1"} },
			Send: func(to host.Host, message spread.Message) {
				group.mail = append(group.mail, letter{self, to, message})
			},
			Apply: func(next heads.Heads, document []byte) error {
				if next.Generation == node.refuses {
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

// at returns a host's spread.
func (group *group) at(i int) *spread.Spread { return group.nodes[group.hosts[i].Name].spread }

// deliver hands out one message.
func (group *group) deliver(letter letter) {
	group.nodes[letter.to.Name].spread.Receive(letter.from, letter.message)
}

// beat lets each host hear a heartbeat of each other.
func (group *group) beat() {
	for i := range group.hosts {
		for j, other := range group.hosts {
			if i != j {
				generation, _ := group.at(j).Applied()
				group.at(i).Observe(other, generation)
			}
		}
	}
}

// settle lets heartbeats, timers and messages run for a time.
func (group *group) settle(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		group.beat()
		for i := range group.hosts {
			group.at(i).Tick()
		}
		for len(group.mail) > 0 {
			next := group.mail[0]
			group.mail = group.mail[1:]
			group.deliver(next)
		}
	}
}

// change returns the heads of a generation and their document, which is large
// from every other generation so that it doesn't ride on the repair.
func change(generation uint64) (heads.Heads, []byte) {
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

// Guards against a host that goes back to an older generation, or applies one
// twice, when messages are lost, doubled or overtake each other.
func TestGenerationsOnlyRiseInAnyOrderOfMessages(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 50, 300).Draw(rt, "steps")
		var wrong error
		synctest.Test(t, func(*testing.T) {
			group := newGroup(rt, 4)
			generation := uint64(0)
			for _, step := range steps {
				kind, choice := step%8, step/8
				switch {
				case kind == 0:
					generation++
					next, document := change(generation)
					group.at(choice%2).Advance(next, document)
				case kind == 1:
					// An old value from the service, as a slow read returns it.
					next, document := change(max(1, generation/2))
					group.at(choice%4).Advance(next, document)
				case kind == 2:
					time.Sleep(time.Duration(choice%400) * time.Millisecond)
					group.beat()
					group.at(choice % 4).Tick()
				case len(group.mail) > 0:
					at := choice % len(group.mail)
					next := group.mail[at]
					if kind != 3 {
						// Kind 3 delivers a copy; the message comes again.
						group.mail = slices.Delete(group.mail, at, at+1)
					}
					if kind != 4 {
						group.deliver(next)
					}
				}
			}
			group.settle(5 * time.Second)
			wrong = group.check(generation)
		})
		if wrong != nil {
			rt.Fatal(wrong)
		}
	})
}

// check returns what is wrong with the order of the applied generations.
func (group *group) check(last uint64) error {
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

// Guards against repairs that go on after another host sent one, and against a
// host that rejects a generation being flooded.
func TestRepairsAreCancelledAndSlowDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 6)
		group.nodes["entry-5"].refuses = 2
		next, document := change(2)
		group.at(0).Advance(next, document)
		group.settle(2 * time.Second)
		for i := range 5 {
			generation, digest := group.at(i).Applied()
			require.Equal(t, uint64(2), generation)
			require.Equal(t, next.Production.Digest, digest)
		}
		repairs := 0
		for range 60 {
			time.Sleep(time.Second)
			group.beat()
			for i := range group.hosts {
				group.at(i).Tick()
			}
			for _, letter := range group.mail {
				require.Equal(t, "entry-5", letter.to.Name, "a repair of a host that was not behind")
				repairs++
			}
			group.mail = nil
		}
		require.Less(t, repairs, 60, "five hosts may repair one that rejects, ever more slowly")
		_, waiting := group.at(0).Confirmed(2)
		require.Equal(t, []string{"entry-5"}, waiting)
	})
}

// Guards against a tampered or damaged document being put in force.
func TestDocumentThatDoesNotMatchIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 2)
		next, _ := change(2)
		message := spread.Message{
			Kind: spread.Repair, From: "entry-0", Incarnation: 1, Generation: 2, Heads: &next, Packed: []byte("damaged"),
		}
		group.deliver(letter{group.hosts[0], group.hosts[1], message})
		require.Empty(t, group.nodes["entry-1"].applied)
		message.From = "entry-7"
		group.deliver(letter{group.hosts[0], group.hosts[1], message})
		require.Empty(t, group.nodes["entry-1"].applied)
	})
}

// Guards against a confirmation that counts a host that did not answer, or a
// process that no longer runs, and against hosts that are never asked.
func TestConfirmationAsksAndNamesTheWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 4)
		next, document := change(3)
		for i := range 3 {
			group.at(i).Advance(next, document)
		}
		group.mail = nil
		confirmed, waiting := group.at(0).Confirmed(3)
		require.Equal(t, []string{"entry-0"}, confirmed)
		require.Len(t, waiting, 3)
		group.at(0).Tick()
		for len(group.mail) > 0 {
			next := group.mail[0]
			group.mail = group.mail[1:]
			if next.message.Kind != spread.Repair {
				group.deliver(next)
			}
		}
		confirmed, waiting = group.at(0).Confirmed(3)
		require.Equal(t, []string{"entry-0", "entry-1", "entry-2"}, confirmed)
		require.Equal(t, []string{"entry-3"}, waiting)
		group.hosts[1].Incarnation++
		group.hosts[3].State = host.Dead
		_, waiting = group.at(0).Confirmed(3)
		require.Equal(t, []string{"entry-1"}, waiting, "the new process has not confirmed")
		require.Equal(t, []string{"entry-3"}, group.at(0).Unreached(3))
	})
}

// Guards against a cut-off host that goes on taking work, and against one that
// stops although a peer or the service is there.
func TestHostWithoutPeersAndServiceIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 2)
		time.Sleep(60 * time.Second)
		require.False(t, group.at(0).Isolated())
		time.Sleep(time.Second)
		require.True(t, group.at(0).Isolated())
		group.at(0).Reached()
		require.False(t, group.at(0).Isolated())
		time.Sleep(59 * time.Second)
		group.at(0).Observe(group.hosts[1], 0)
		time.Sleep(59 * time.Second)
		require.False(t, group.at(0).Isolated())
	})
}

// service is a key-value service with one writer and outages.
type service struct {
	store.Store

	mutex   sync.Mutex
	entries map[string]store.Entry
	events  chan store.Event
	down    bool
	calls   int
}

// locked runs a function that reads or changes the service.
func (service *service) locked(run func()) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	run()
}

func (service *service) Get(_ context.Context, key string) (store.Entry, error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls++
	if service.down {
		return store.Entry{}, fault.New("service.get", store.Unavailable, key)
	}
	entry, found := service.entries[key]
	if !found {
		return entry, fault.New("service.get", store.Absent, key)
	}
	return entry, nil
}

func (service *service) Watch(context.Context, string, int64) (<-chan store.Event, error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls++
	service.events = make(chan store.Event, 1)
	return service.events, nil
}

// put stores heads and their document.
func (service *service) put(t *testing.T, generation uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	next, document := change(generation)
	value, err := next.Encode()
	require.NoError(t, err)
	service.entries[heads.DocumentKey("test", next.Production.Digest)] = store.Entry{Value: document, Revision: 1}
	entry := store.Entry{Key: heads.Key("test"), Value: value, Revision: int64(generation)}
	service.entries[entry.Key] = entry
	if service.events != nil && !service.down {
		service.events <- store.Event{Entry: entry}
	}
}

// Guards against a relay that misses a change after an outage or a silent
// watch, and against one that wears out the service while it is down.
func TestWatcherFollowsThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 1)
		service := &service{entries: map[string]store.Entry{}}
		random := rand.New(rand.NewPCG(1, 1))
		client, err := heads.New(heads.Options{Store: service, Environment: "test", Random: random})
		require.NoError(t, err)
		watcher, err := spread.NewWatcher(spread.WatcherOptions{
			Spread: group.at(0), Client: client, Store: service, Environment: "test", Random: random,
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		applied := func() uint64 {
			synctest.Wait()
			generation, _ := group.at(0).Applied()
			return generation
		}
		time.Sleep(time.Second)
		service.put(t, 1)
		require.Equal(t, uint64(1), applied(), "a change seen by the watch")
		before := 0
		service.locked(func() {
			service.down = true
			service.events <- store.Event{Err: errors.New("connection lost")}
			before = service.calls
		})
		time.Sleep(5 * time.Minute)
		service.locked(func() { require.Less(t, service.calls-before, 150) })
		require.True(t, group.at(0).Isolated())
		service.put(t, 2)
		service.locked(func() { service.down = false })
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(2), applied(), "a change during the outage")
		service.locked(func() { service.events = nil })
		service.put(t, 3)
		time.Sleep(21 * time.Second)
		require.Equal(t, uint64(3), applied(), "a change that the watch missed")
		cancel()
		synctest.Wait()
	})
}
