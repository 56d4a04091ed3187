package mirror_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fresh"
	"primrosegw/core/mirror"
	"primrosegw/core/store"
)

// source is an in-memory store with injectable failures.
type source struct {
	mutex    sync.Mutex
	revision int64
	entries  map[string]store.Entry
	history  []store.Event
	// oldest is the revision before which the history is compacted.
	oldest int64
	down   bool
	// stalled calls for changes return no events.
	stalled bool
	// lag is the number of revisions by which stale listings are behind.
	lag int64
	// listDelay is how long a listing of all keys takes, and getDelay after how long the answer to a read of one comes.
	listDelay, getDelay time.Duration
	changed             chan struct{}
	calls               map[string]int
	// era counts the restorations; onEra is called with it on each call.
	era   int64
	onEra func(era int64)
}

func newSource() *source {
	return &source{entries: map[string]store.Entry{}, changed: make(chan struct{}), calls: map[string]int{}, onEra: func(int64) {}}
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

// restore brings the state at a revision back and forgets all later changes.
func (source *source) restore(revision int64) {
	source.set(func() {
		source.era++
		source.revision = revision
		source.history = slices.DeleteFunc(source.history, func(change store.Event) bool { return change.Entry.Revision > revision })
		source.entries = map[string]store.Entry{}
		for _, change := range source.history {
			source.entries[change.Entry.Key] = change.Entry
			if change.Deleted {
				delete(source.entries, change.Entry.Key)
			}
		}
	})
}

func (source *source) countCall(name string) error {
	source.calls[name]++
	source.onEra(source.era)
	if source.down {
		return fault.New("source."+name, store.Unavailable, "down")
	}
	return nil
}

func (source *source) Get(_ context.Context, key string) (store.Entry, store.Position, error) {
	var delay time.Duration
	defer func() { time.Sleep(delay) }()
	source.mutex.Lock()
	defer source.mutex.Unlock()
	delay = source.getDelay
	if err := source.countCall("get"); err != nil {
		return store.Entry{}, store.Position{}, err
	}
	entry, ok := source.entries[key]
	if !ok {
		return store.Entry{}, source.position(0), fault.New("source.get", store.Absent, key)
	}
	return entry, source.position(source.revision), nil
}

func (source *source) position(revision int64) store.Position {
	return store.Position{Era: source.era, Revision: revision}
}

func (source *source) Range(ctx context.Context, _ string, stale bool) ([]store.Entry, store.Position, error) {
	select {
	case <-time.After(source.listDelay):
	case <-ctx.Done():
		return nil, store.Position{}, fault.Wrap("source.range", store.Unavailable, ctx.Err())
	}
	source.mutex.Lock()
	defer source.mutex.Unlock()
	name, revision := "range", source.revision
	if stale {
		name, revision = "range_stale", max(1, source.revision-source.lag)
	}
	if err := source.countCall(name); err != nil {
		return nil, store.Position{}, err
	}
	var entries []store.Entry
	for _, entry := range source.entries {
		if entry.Revision <= revision {
			entries = append(entries, entry)
		}
	}
	return entries, source.position(revision), nil
}

func (source *source) Changes(ctx context.Context, _ string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		source.mutex.Lock()
		changed, events, position := source.changed, []store.Event(nil), source.position(source.revision)
		err := error(nil)
		if first {
			err = source.countCall("changes")
		}
		if err == nil && (after.Revision < source.oldest || after.Revision > source.revision) {
			err = fault.New("source.changes", store.Compacted, "")
		}
		for _, change := range source.history {
			if change.Entry.Revision > after.Revision && !source.stalled {
				events = append(events, change)
			}
		}
		source.mutex.Unlock()
		if err != nil || len(events) > 0 {
			return events, position, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, store.Position{}, fault.Wrap("source.changes", store.Unavailable, ctx.Err())
		}
	}
}

// sink records what the mirror delivers.
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
	changed := sink.values[change.Entry.Key] != string(change.Entry.Value)
	sink.values[change.Entry.Key] = string(change.Entry.Value)
	sink.writes = append(sink.writes, change.Entry.Key+"="+string(change.Entry.Value))
	return changed
}

func (sink *sink) Listed(entries []store.Entry, _ bool) {
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

// harness is a mirror with an in-memory source under a fake clock.
type harness struct {
	source *source
	sink   *sink
	proof  *fresh.Proof
	mirror *mirror.Mirror
	start  time.Time
	// published is the batches that the mirror has published.
	published []mirror.Batch
	// idle makes the host an idle one.
	idle atomic.Bool
	// outdated marks the stored value of the probed key as older than a known one.
	outdated atomic.Bool
	// provenEra is the era in which reads are proofs.
	provenEra atomic.Int64
	log       bytes.Buffer
}

func (harness *harness) publish(batch mirror.Batch) {
	harness.sink.mutex.Lock()
	defer harness.sink.mutex.Unlock()
	harness.published = append(harness.published, batch)
}

func (harness *harness) batches() []mirror.Batch {
	harness.sink.mutex.Lock()
	defer harness.sink.mutex.Unlock()
	return slices.Clone(harness.published)
}

func (harness *harness) calls(name string) int {
	harness.source.mutex.Lock()
	defer harness.source.mutex.Unlock()
	return harness.source.calls[name]
}

func (harness *harness) now() fresh.Instant { return fresh.Instant(time.Since(harness.start)) }

// run runs a test against the mirror of a watcher under a fake clock.
func run(t *testing.T, test func(harness *harness)) {
	t.Helper()
	runWithRole(t, true, test)
}

// runWithRole is run for a watcher or a standby host.
func runWithRole(t *testing.T, watcher bool, test func(harness *harness)) {
	t.Helper()
	runPrepared(t, watcher, func(*harness) {}, test)
}

// runPrepared is runWithRole with something that happens before the mirror runs.
func runPrepared(t *testing.T, watcher bool, prepare, test func(harness *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		harness := &harness{source: newSource(), sink: &sink{values: map[string]string{}}, proof: fresh.New(4 * time.Second), start: time.Now()}
		harness.mirror = mirror.New(mirror.Options{
			Source: harness.source, Sink: harness.sink, ProbeKey: "config", ProbeInterval: time.Second, StandbyProbeInterval: 4 * time.Second, Proof: harness.proof,
			Now: harness.now, Logger: event.New(&harness.log, "host", logrus.InfoLevel, nil), Random: rand.New(rand.NewPCG(1, 2)),
			IsWatcher: func() bool { return watcher }, IsIdle: harness.idle.Load, Publish: harness.publish,
			IsCurrent: func() bool { return !harness.outdated.Load() },
			MayProve:  func() (int64, bool) { return harness.provenEra.Load(), !harness.outdated.Load() },
		})
		harness.source.onEra = harness.mirror.ObserveEra
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		// Before the first read: a mirror that finds no key reads it again 0.7 s later.
		harness.source.put("config", "1")
		prepare(harness)
		group.Go(func() { harness.mirror.Run(ctx) })
		test(harness)
		cancel()
		group.Wait()
	})
}

// While a host receives proofs from other hosts, it must make few or, as a standby, no
// calls to probe the store. When it receives none, it must probe.
func TestStandbyHostsProbeLess(t *testing.T) {
	for watcher, maxProbes := range map[bool]int{true: 40, false: 0} {
		runWithRole(t, watcher, func(harness *harness) {
			time.Sleep(100 * time.Millisecond)
			before := harness.calls("get")
			for range 28 {
				time.Sleep(700 * time.Millisecond)
				harness.proof.Confirm(harness.now() - fresh.Instant(time.Second))
			}
			probes := harness.calls("get") - before
			require.LessOrEqual(t, probes, maxProbes)
			require.Equal(t, watcher, probes > 0)
			before = harness.calls("get")
			time.Sleep(20 * time.Second)
			require.GreaterOrEqual(t, harness.calls("get")-before, 4)
		})
	}
}

// Guards against a host that starts while the store is away and never reads it: if another call than those of the
// mirror failed first, the mirror waited for the probe, which waited for the mirror.
func TestHostThatStartsAfterAnotherCallHasFailedReadsTheStore(t *testing.T) {
	for _, watcher := range []bool{true, false} {
		runPrepared(t, watcher, func(harness *harness) {
			harness.mirror.RecordFailure(fault.New("kv.put", store.Unavailable, "no answer"), "register")
		}, func(harness *harness) {
			time.Sleep(5 * time.Second)
			require.Equal(t, "1", harness.sink.value("config"))
			require.True(t, harness.proof.Valid(harness.now()))
		})
	}
}

// All changes must be applied, and an idle mirror must use long polls instead of
// repeated calls.
func TestFollowsChanges(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.put("servers/a", "x")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, "x", harness.sink.value("servers/a"))
		harness.source.remove("servers/a")
		time.Sleep(200 * time.Millisecond)
		require.Empty(t, harness.sink.value("servers/a"))
		before := harness.calls("changes")
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, harness.calls("changes")-before, 1)
		require.Equal(t, 1, harness.sink.lists)
	})
}

// In an outage the proof must lapse, so that the host stops using a configuration that
// it can't confirm. It must be valid again soon after the store returns.
func TestProofLapsesInAnOutage(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(2 * time.Second)
		require.True(t, harness.proof.Valid(harness.now()))
		_, pending := harness.mirror.ReregistrationDeadline(time.Now())
		require.False(t, pending)
		harness.source.set(func() { harness.source.down = true })
		time.Sleep(3 * time.Second)
		_, pending = harness.mirror.ReregistrationDeadline(time.Now())
		require.True(t, pending)
		time.Sleep(1500 * time.Millisecond)
		require.False(t, harness.proof.Valid(harness.now()))
		harness.source.set(func() { harness.source.down = false })
		time.Sleep(time.Second)
		require.True(t, harness.proof.Valid(harness.now()))
		first, pending := harness.mirror.ReregistrationDeadline(time.Now())
		require.True(t, pending)
		time.Sleep(500 * time.Millisecond)
		// The deadline is the same for all keys, however late they go missing.
		second, pending := harness.mirror.ReregistrationDeadline(time.Now())
		require.True(t, pending)
		require.Equal(t, first, second)
		time.Sleep(time.Until(first))
		_, pending = harness.mirror.ReregistrationDeadline(time.Now())
		require.False(t, pending)
	})
}

// After a compaction the mirror must list all keys again instead of polling a history
// that the store has dropped.
func TestCompactionTriggersRelisting(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.set(func() {
			harness.source.stalled = true
		})
		harness.source.put("servers/b", "y")
		harness.source.set(func() {
			harness.source.stalled, harness.source.history = false, nil
			harness.source.oldest = harness.source.revision
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, "y", harness.sink.value("servers/b"))
		require.Equal(t, 2, harness.sink.lists)
	})
}

// A call for changes may hang while the store's revision advances. The probe must
// notice the lag and the call must be replaced.
func TestStalledPollIsRestarted(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.mutex.Lock()
		harness.source.stalled = true
		harness.source.mutex.Unlock()
		harness.source.put("servers/c", "z")
		harness.source.mutex.Lock()
		harness.source.stalled = false
		harness.source.mutex.Unlock()
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, "z", harness.sink.value("servers/c"))
	})
}

// Both the probe and the changes deliver the configuration. Each version must reach
// the sink once, and no older one after a newer one.
func TestConfigurationIsDeliveredOnceAndInOrder(t *testing.T) {
	run(t, func(harness *harness) {
		for _, value := range []string{"2", "3", "4"} {
			time.Sleep(700 * time.Millisecond)
			harness.source.put("config", value)
		}
		time.Sleep(2 * time.Second)
		harness.sink.mutex.Lock()
		defer harness.sink.mutex.Unlock()
		require.Equal(t, []string{"config=1", "config=2", "config=3", "config=4"}, harness.sink.writes)
	})
}

func batch(after, until int64, key, value string) mirror.Batch {
	return mirror.Batch{After: after, Until: until, Events: []store.Event{{Entry: store.Entry{Key: key, Value: []byte(value), Revision: until}}}}
}

// Standby hosts must apply the changes that other hosts send, in order and each once,
// without calls to the store.
func TestStandbyHostAppliesBatches(t *testing.T) {
	runWithRole(t, false, func(harness *harness) {
		time.Sleep(time.Second)
		position := harness.mirror.Position().Revision
		harness.mirror.ApplyBatch(batch(position, position+1, "servers/a", "1"))
		harness.mirror.ApplyBatch(batch(position, position+1, "servers/a", "again"))
		require.Equal(t, "1", harness.sink.value("servers/a"))
		harness.mirror.ApplyBatch(batch(position+1, position+2, "servers/a", "2"))
		require.Equal(t, "2", harness.sink.value("servers/a"))
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, harness.calls("changes"), "only the call at the start")
	})
}

// When a host loses a batch, it must read the missing changes from the store.
func TestMissedChangesAreReadFromStore(t *testing.T) {
	runWithRole(t, false, func(harness *harness) {
		time.Sleep(time.Second)
		position := harness.mirror.Position().Revision
		harness.source.put("servers/b", "1")
		harness.source.put("servers/c", "2")
		harness.mirror.ApplyBatch(batch(position+1, position+2, "servers/c", "2"))
		require.Empty(t, harness.sink.value("servers/c"))
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", harness.sink.value("servers/b"))
		require.Equal(t, "2", harness.sink.value("servers/c"))
		harness.source.put("servers/d", "3")
		harness.mirror.ExpectPosition(store.Position{Revision: position + 3})
		time.Sleep(2 * time.Second)
		require.Equal(t, "3", harness.sink.value("servers/d"))
	})
}

// A watcher must publish the changes that it reads from the store.
func TestChangesArePublished(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		position := harness.mirror.Position().Revision
		harness.source.put("servers/a", "1")
		time.Sleep(time.Second)
		batches := harness.batches()
		require.NotEmpty(t, batches)
		last := batches[len(batches)-1]
		require.Equal(t, position, last.After)
		require.Equal(t, position+1, last.Until)
	})
}

// Heartbeats of thousands of servers must not be sent to all hosts: writes that repeat
// the value are left out of the batches, but the revision must still be published.
func TestUnchangedWritesAreNotPublished(t *testing.T) {
	run(t, func(harness *harness) {
		harness.source.put("servers/a", "1")
		time.Sleep(time.Second)
		before := len(harness.batches())
		for range 3 {
			harness.source.put("servers/a", "1")
			time.Sleep(time.Second)
		}
		published := harness.batches()[before:]
		require.Len(t, published, 3)
		for _, batch := range published {
			require.Empty(t, batch.Events)
			require.Equal(t, batch.After+1, batch.Until)
		}
	})
}

// A watcher must also publish changes that it first received from another host,
// because the hosts of its failure domain may have missed that batch.
func TestChangesAppliedEarlierArePublished(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		position := harness.mirror.Position().Revision
		before := len(harness.batches())
		harness.source.set(func() { harness.source.stalled = true })
		harness.source.put("servers/a", "1")
		harness.mirror.ApplyBatch(mirror.Batch{After: position, Until: position + 1, Events: []store.Event{
			{Entry: store.Entry{Key: "servers/a", Value: []byte("1"), Revision: position + 1}},
		}})
		require.Equal(t, "1", harness.sink.value("servers/a"))
		harness.source.set(func() { harness.source.stalled = false })
		time.Sleep(2 * time.Second)
		for _, batch := range harness.batches()[before:] {
			if batch.After <= position && batch.Until > position {
				require.Len(t, batch.Events, 1)
			}
		}
	})
}

// A listing of thousands of keys is slow while hundreds of hosts start together. It
// must not be aborted and restarted over and over.
func TestSlowListingIsNotAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, sink := newSource(), &sink{values: map[string]string{}}
		source.listDelay = 6 * time.Second
		source.put("servers/a", "x")
		copied := mirror.New(mirror.Options{
			Source: source, Sink: sink, ProbeKey: "config", ProbeInterval: time.Second, Proof: fresh.New(time.Minute),
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

// startMirror runs a mirror of an existing source under a fake clock until the test
// ends.
func startMirror(t *testing.T, source *source, idle bool) *harness {
	t.Helper()
	harness := &harness{source: source, sink: &sink{values: map[string]string{}}, proof: fresh.New(4 * time.Second), start: time.Now()}
	harness.mirror = mirror.New(mirror.Options{
		Source: source, Sink: harness.sink, ProbeKey: "config", ProbeInterval: time.Second, StandbyProbeInterval: 4 * time.Second,
		Proof: harness.proof, Now: harness.now, Logger: event.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
		IsWatcher: func() bool { return !idle }, IsIdle: func() bool { return idle },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { harness.mirror.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return harness
}

// A starting host must list the store with a cheap stale read, and make up for its age
// with one call, whatever the number of hosts that start with it.
func TestStaleListingIsCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		source.put("config", "1")
		source.put("servers/a", "1")
		source.put("servers/b", "1")
		source.remove("servers/a")
		source.put("servers/b", "2")
		source.lag = 2
		harness := startMirror(t, source, true)
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, harness.sink.value("servers/a"))
		require.Equal(t, "2", harness.sink.value("servers/b"))
		require.Equal(t, "1", harness.sink.value("config"))
		require.Equal(t, map[string]int{"range_stale": 1, "changes": 1}, source.calls)
	})
}

// If the history after a stale listing has been compacted, the next listing must not be
// stale: it might be followed by the same gap without end.
func TestCompactionAfterStaleListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		source.put("config", "1")
		source.put("servers/a", "1")
		source.put("servers/a", "2")
		source.lag, source.oldest = 1, 3
		harness := startMirror(t, source, false)
		time.Sleep(time.Second)
		require.Equal(t, "2", harness.sink.value("servers/a"))
		require.Equal(t, 1, harness.calls("range"))
	})
}

// A host that starts with others must not read the store before they have registered:
// each change would cost it a call.
func TestFirstStartWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		source.put("hosts/a", "1")
		harness := startMirror(t, source, true)
		for number := range 200 {
			time.Sleep(time.Millisecond)
			source.put("hosts/"+string(rune('b'+number)), "1")
		}
		time.Sleep(time.Second)
		require.Equal(t, "1", harness.sink.value("hosts/"+string(rune('b'+199))))
		require.Equal(t, 1, harness.calls("changes"))
	})
}

// An idle host must not read the configuration as long as other hosts may send it a
// proof, and must read it soon if none arrives.
func TestIdleHostWaitsForProofs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		source.put("config", "1")
		harness := startMirror(t, source, true)
		time.Sleep(time.Second)
		require.Zero(t, harness.calls("get"))
		time.Sleep(3100 * time.Millisecond)
		require.Equal(t, 1, harness.calls("get"))
		require.True(t, harness.proof.Valid(harness.now()))
	})
}

// An idle host must not call a store that is down as often as a host with requests, but
// must notice within two seconds that it is back.
func TestIdleHostRetriesRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		source.put("config", "1")
		harness := startMirror(t, source, true)
		time.Sleep(3 * time.Second)
		source.set(func() { source.down = true })
		harness.mirror.RecordFailure(fault.New("test", store.Unavailable, "down"), "keep_alive")
		before := harness.calls("get")
		time.Sleep(9 * time.Second)
		require.LessOrEqual(t, harness.calls("get")-before, 9)
		source.set(func() { source.down = false })
		time.Sleep(2 * time.Second)
		_, pending := harness.mirror.ReregistrationDeadline(time.Now())
		require.True(t, pending)
		require.True(t, harness.proof.Valid(harness.now()))
	})
}

// A watcher must be able to send missed changes again, so that hosts which lost a batch
// do not all read the store. What it no longer keeps it must not claim to know.
func TestKeptChangesAreReturned(t *testing.T) {
	runWithRole(t, false, func(harness *harness) {
		time.Sleep(2 * time.Second)
		first := harness.mirror.Position().Revision
		_, kept := harness.mirror.Since(store.Position{Revision: first})
		require.False(t, kept, "nothing is missing")
		for number := range int64(3) {
			harness.mirror.ApplyBatch(batch(first+number, first+number+1, "servers/a", string(rune('1'+number))))
		}
		missed, kept := harness.mirror.Since(store.Position{Revision: first + 1})
		require.True(t, kept)
		require.Equal(t, first+3, missed.Until)
		require.Len(t, missed.Events, 2)
		require.Equal(t, "3", string(missed.Events[1].Entry.Value))

		long := strings.Repeat("x", 50<<10)
		for number := range int64(4) {
			harness.mirror.ApplyBatch(batch(first+3+number, first+4+number, "servers/b", long+string(rune('1'+number))))
		}
		_, kept = harness.mirror.Since(store.Position{Revision: first + 1})
		require.False(t, kept, "the oldest changes are dropped")
		missed, kept = harness.mirror.Since(store.Position{Revision: first + 6})
		require.True(t, kept)
		require.Len(t, missed.Events, 1)
		harness.mirror.ApplyBatch(missed)
		require.Equal(t, first+7, harness.mirror.Position().Revision)
	})
}
