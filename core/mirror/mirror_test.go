package mirror_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fresh"
	"primrosegw/core/mirror"
	"primrosegw/core/store"
)

// source is a store in memory whose failures a test sets.
type source struct {
	mutex    sync.Mutex
	revision int64
	entries  map[string]store.Entry
	history  []store.Event
	// oldest is the revision before which the history is gone.
	oldest int64
	down   bool
	// deaf: calls for changes hear nothing.
	deaf bool
	// listing is how long it takes to list all keys.
	listing time.Duration
	changed chan struct{}
	calls   map[string]int
}

func newSource() *source {
	return &source{entries: map[string]store.Entry{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (source *source) put(key, value string) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.revision++
	entry := store.Entry{Key: key, Value: []byte(value), Revision: source.revision}
	source.entries[key] = entry
	source.record(store.Event{Entry: entry})
}

func (source *source) remove(key string) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.revision++
	delete(source.entries, key)
	source.record(store.Event{Entry: store.Entry{Key: key, Revision: source.revision}, Deleted: true})
}

func (source *source) record(change store.Event) {
	source.history = append(source.history, change)
	close(source.changed)
	source.changed = make(chan struct{})
}

func (source *source) set(change func()) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	change()
	close(source.changed)
	source.changed = make(chan struct{})
}

func (source *source) called(name string) error {
	source.calls[name]++
	if source.down {
		return fault.New("source."+name, store.Unavailable, "down")
	}
	return nil
}

func (source *source) Get(_ context.Context, key string) (store.Entry, int64, error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if err := source.called("get"); err != nil {
		return store.Entry{}, 0, err
	}
	entry, ok := source.entries[key]
	if !ok {
		return store.Entry{}, 0, fault.New("source.get", store.Absent, key)
	}
	return entry, source.revision, nil
}

func (source *source) Range(ctx context.Context, _ string) ([]store.Entry, int64, error) {
	select {
	case <-time.After(source.listing):
	case <-ctx.Done():
		return nil, 0, fault.Wrap("source.range", store.Unavailable, ctx.Err())
	}
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if err := source.called("range"); err != nil {
		return nil, 0, err
	}
	var entries []store.Entry
	for _, entry := range source.entries {
		entries = append(entries, entry)
	}
	return entries, source.revision, nil
}

func (source *source) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		source.mutex.Lock()
		changed, events, revision := source.changed, []store.Event(nil), source.revision
		err := error(nil)
		if first {
			err = source.called("changes")
		}
		if err == nil && after < source.oldest {
			err = fault.New("source.changes", store.Compacted, "")
		}
		for _, change := range source.history {
			if change.Entry.Revision > after && !source.deaf {
				events = append(events, change)
			}
		}
		source.mutex.Unlock()
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, fault.Wrap("source.changes", store.Unavailable, ctx.Err())
		}
	}
}

// sink keeps what the mirror delivers.
type sink struct {
	mutex  sync.Mutex
	values map[string]string
	lists  int
	writes []string
}

func (sink *sink) Changed(change store.Event) bool {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	if change.Deleted {
		delete(sink.values, change.Entry.Key)
		return true
	}
	news := sink.values[change.Entry.Key] != string(change.Entry.Value)
	sink.values[change.Entry.Key] = string(change.Entry.Value)
	sink.writes = append(sink.writes, change.Entry.Key+"="+string(change.Entry.Value))
	return news
}

func (sink *sink) Listed(entries []store.Entry) {
	sink.mutex.Lock()
	sink.lists++
	kept := map[string]string{"config": sink.values["config"]}
	sink.values = kept
	sink.mutex.Unlock()
	for _, entry := range entries {
		sink.Changed(store.Event{Entry: entry})
	}
}

func (sink *sink) value(key string) string {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	return sink.values[key]
}

type world struct {
	source *source
	sink   *sink
	proof  *fresh.Proof
	mirror *mirror.Mirror
	start  time.Time
	// shared is what the mirror has passed on.
	shared []mirror.Batch
}

func (world *world) share(batch mirror.Batch) {
	world.sink.mutex.Lock()
	defer world.sink.mutex.Unlock()
	world.shared = append(world.shared, batch)
}

func (world *world) batches() []mirror.Batch {
	world.sink.mutex.Lock()
	defer world.sink.mutex.Unlock()
	return slices.Clone(world.shared)
}

func (world *world) calls(name string) int {
	world.source.mutex.Lock()
	defer world.source.mutex.Unlock()
	return world.source.calls[name]
}

func (world *world) now() fresh.Instant { return fresh.Instant(time.Since(world.start)) }

// run plays a test against a mirror under the paused clock.
func run(t *testing.T, play func(world *world)) {
	t.Helper()
	runAs(t, true, play)
}

// runAs is run for a host that waits for changes at the store or does not.
func runAs(t *testing.T, watches bool, play func(world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := &world{source: newSource(), sink: &sink{values: map[string]string{}}, proof: fresh.New(4 * time.Second), start: time.Now()}
		world.mirror = mirror.New(mirror.Options{
			Source: world.source, Sink: world.sink, ProbeKey: "config", ProbeEvery: time.Second, StandbyProbeEvery: 4 * time.Second, Proof: world.proof,
			Now: world.now, Logger: event.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
			Watches: func() bool { return watches }, Share: world.share,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { world.mirror.Run(ctx) })
		world.source.put("config", "1")
		play(world)
		cancel()
		group.Wait()
	})
}

// Guards against a call to the store by each host though others tell their
// proofs, and against a standby host that never asks when it hears nothing.
func TestStandbyHostsAskLater(t *testing.T) {
	for watches, most := range map[bool]int{true: 40, false: 0} {
		runAs(t, watches, func(world *world) {
			time.Sleep(100 * time.Millisecond)
			before := world.calls("get")
			for range 28 {
				time.Sleep(700 * time.Millisecond)
				world.proof.Confirm(world.now() - fresh.Instant(time.Second))
			}
			asked := world.calls("get") - before
			require.LessOrEqual(t, asked, most)
			require.Equal(t, watches, asked > 0)
			before = world.calls("get")
			time.Sleep(20 * time.Second)
			require.GreaterOrEqual(t, world.calls("get")-before, 4)
		})
	}
}

// Guards against changes that are missed, and against a poll for each of them.
func TestFollowsChanges(t *testing.T) {
	run(t, func(world *world) {
		time.Sleep(time.Second)
		world.source.put("servers/a", "x")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, "x", world.sink.value("servers/a"))
		world.source.remove("servers/a")
		time.Sleep(200 * time.Millisecond)
		require.Empty(t, world.sink.value("servers/a"))
		before := world.calls("changes")
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, world.calls("changes")-before, 1)
		require.Equal(t, 1, world.sink.lists)
	})
}

// Guards against a host that acts on a configuration which it can't confirm, and
// against one that stays out after the store is back.
func TestProofLapsesInAnOutage(t *testing.T) {
	run(t, func(world *world) {
		time.Sleep(2 * time.Second)
		require.True(t, world.proof.Valid(world.now()))
		_, may := world.mirror.MayComeBack(time.Now())
		require.False(t, may)
		world.source.set(func() { world.source.down = true })
		time.Sleep(3 * time.Second)
		_, may = world.mirror.MayComeBack(time.Now())
		require.True(t, may)
		time.Sleep(1500 * time.Millisecond)
		require.False(t, world.proof.Valid(world.now()))
		world.source.set(func() { world.source.down = false })
		time.Sleep(time.Second)
		require.True(t, world.proof.Valid(world.now()))
		first, may := world.mirror.MayComeBack(time.Now())
		require.True(t, may)
		time.Sleep(500 * time.Millisecond)
		// A key that vanishes later has no more time than one that vanished first.
		second, may := world.mirror.MayComeBack(time.Now())
		require.True(t, may)
		require.Equal(t, first, second)
		time.Sleep(time.Until(first))
		_, may = world.mirror.MayComeBack(time.Now())
		require.False(t, may)
	})
}

// Guards against a mirror that waits for a history which the store has dropped.
func TestCompactionListsAgain(t *testing.T) {
	run(t, func(world *world) {
		time.Sleep(time.Second)
		world.source.set(func() {
			world.source.deaf = true
		})
		world.source.put("servers/b", "y")
		world.source.set(func() {
			world.source.deaf, world.source.history = false, nil
			world.source.oldest = world.source.revision
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, "y", world.sink.value("servers/b"))
		require.Equal(t, 2, world.sink.lists)
	})
}

// Guards against a call for changes that hears nothing while the store moves on:
// the probe finds out and replaces it.
func TestDeafWatchIsReplaced(t *testing.T) {
	run(t, func(world *world) {
		time.Sleep(time.Second)
		world.source.mutex.Lock()
		world.source.deaf = true
		world.source.mutex.Unlock()
		world.source.put("servers/c", "z")
		world.source.mutex.Lock()
		world.source.deaf = false
		world.source.mutex.Unlock()
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, "z", world.sink.value("servers/c"))
	})
}

// Guards against an older configuration that is delivered after a newer one: the
// probe and the changes both carry it.
func TestConfigurationIsDeliveredOnceAndInOrder(t *testing.T) {
	run(t, func(world *world) {
		for _, value := range []string{"2", "3", "4"} {
			time.Sleep(700 * time.Millisecond)
			world.source.put("config", value)
		}
		time.Sleep(2 * time.Second)
		world.sink.mutex.Lock()
		defer world.sink.mutex.Unlock()
		require.Equal(t, []string{"config=1", "config=2", "config=3", "config=4"}, world.sink.writes)
	})
}

func batch(after, until int64, key, value string) mirror.Batch {
	return mirror.Batch{After: after, Until: until, Events: []store.Event{{Entry: store.Entry{Key: key, Value: []byte(value), Revision: until}}}}
}

// Guards against a call at the store by each host for each change: those that do
// not wait there take changes over from others, in order and each once.
func TestChangesComeFromOtherHosts(t *testing.T) {
	runAs(t, false, func(world *world) {
		time.Sleep(time.Second)
		position := world.mirror.Position()
		world.mirror.Take(batch(position, position+1, "servers/a", "1"))
		world.mirror.Take(batch(position, position+1, "servers/a", "again"))
		require.Equal(t, "1", world.sink.value("servers/a"))
		world.mirror.Take(batch(position+1, position+2, "servers/a", "2"))
		require.Equal(t, "2", world.sink.value("servers/a"))
		time.Sleep(5 * time.Second)
		require.Zero(t, world.calls("changes"))
	})
}

// Guards against a host that misses a message of another one and never learns
// what was in it.
func TestMissedChangesAreReadAtTheStore(t *testing.T) {
	runAs(t, false, func(world *world) {
		time.Sleep(time.Second)
		position := world.mirror.Position()
		world.source.put("servers/b", "1")
		world.source.put("servers/c", "2")
		world.mirror.Take(batch(position+1, position+2, "servers/c", "2"))
		require.Empty(t, world.sink.value("servers/c"))
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, "1", world.sink.value("servers/b"))
		require.Equal(t, "2", world.sink.value("servers/c"))
		world.source.put("servers/d", "3")
		world.mirror.Expect(position + 3)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, "3", world.sink.value("servers/d"))
	})
}

// Guards against a host that waits at the store and keeps what it reads.
func TestChangesArePassedOn(t *testing.T) {
	run(t, func(world *world) {
		time.Sleep(time.Second)
		position := world.mirror.Position()
		world.source.put("servers/a", "1")
		time.Sleep(time.Second)
		batches := world.batches()
		require.NotEmpty(t, batches)
		last := batches[len(batches)-1]
		require.Equal(t, position, last.After)
		require.Equal(t, position+1, last.Until)
	})
}

// Guards against signs of life of thousands of servers that are passed on to all
// hosts, and against a place in the changes that is not passed on with them.
func TestSignsOfLifeAreNotPassedOn(t *testing.T) {
	run(t, func(world *world) {
		world.source.put("servers/a", "1")
		time.Sleep(time.Second)
		before := len(world.batches())
		for range 3 {
			world.source.put("servers/a", "1")
			time.Sleep(time.Second)
		}
		passed := world.batches()[before:]
		require.Len(t, passed, 3)
		for _, batch := range passed {
			require.Empty(t, batch.Events)
			require.Equal(t, batch.After+1, batch.Until)
		}
	})
}

// Guards against a change that a host has heard of from another one and does not
// pass on: its own neighbours may have missed it.
func TestChangesHeardBeforeArePassedOn(t *testing.T) {
	run(t, func(world *world) {
		time.Sleep(time.Second)
		position := world.mirror.Position()
		before := len(world.batches())
		world.source.set(func() { world.source.deaf = true })
		world.source.put("servers/a", "1")
		world.mirror.Take(mirror.Batch{After: position, Until: position + 1, Events: []store.Event{
			{Entry: store.Entry{Key: "servers/a", Value: []byte("1"), Revision: position + 1}},
		}})
		require.Equal(t, "1", world.sink.value("servers/a"))
		world.source.set(func() { world.source.deaf = false })
		time.Sleep(2 * time.Second)
		for _, batch := range world.batches()[before:] {
			if batch.After <= position && batch.Until > position {
				require.Len(t, batch.Events, 1)
			}
		}
	})
}

// Guards against a listing of thousands of keys that is thrown away and begun again
// for ever, while hundreds of hosts start together.
func TestLongListingIsNotThrownAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, sink := newSource(), &sink{values: map[string]string{}}
		source.listing = 6 * time.Second
		source.put("servers/a", "x")
		copied := mirror.New(mirror.Options{
			Source: source, Sink: sink, ProbeKey: "config", ProbeEvery: time.Second, Proof: fresh.New(time.Minute),
			Now: func() fresh.Instant { return 1 }, Logger: event.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { copied.Run(ctx) })
		time.Sleep(7 * time.Second)
		require.Equal(t, "x", sink.value("servers/a"))
		cancel()
		group.Wait()
	})
}
