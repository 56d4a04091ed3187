// Package mirror keeps a copy of the keys of the platform's store that a host
// needs, and knows how old the copy may be.
package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fresh"
	"primrosegw/core/store"
)

// Source is the part of the store that a mirror reads.
type Source interface {
	// Get reads one key with the store's revision. It fails with store.Absent or
	// store.Unavailable.
	Get(ctx context.Context, key string) (entry store.Entry, revision int64, err error)
	// Range reads all keys with a prefix, with a revision that is not newer than
	// any of them.
	Range(ctx context.Context, prefix string) ([]store.Entry, int64, error)
	// Changes waits for changes after a revision and returns them with the
	// revision to go on from. It fails with store.Compacted when that history is
	// gone.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error)
}

// Sink takes over what the mirror reads. Its methods are called one at a time.
type Sink interface {
	// Changed is called for each write or removal, in the order of revisions.
	Changed(change store.Event)
	// Listed is called with all keys after the mirror was empty or lost its place.
	Listed(entries []store.Entry)
}

const (
	// longestWait is how long one call waits for changes.
	longestWait = 25 * time.Second
	// settle is the pause between two calls for changes, so that changes that
	// come together take one call.
	settle = 60 * time.Millisecond
	// retryBase and retryCeiling bound the pause after a failed call.
	retryBase    = 120 * time.Millisecond
	retryCeiling = 600 * time.Millisecond
	// probeTimeout bounds a read of the probed key.
	probeTimeout = 700 * time.Millisecond
	// listTimeout bounds a listing of all keys.
	listTimeout = 3 * time.Second
	// deafAfter is how long a call for changes may lag behind the store's
	// revision before it is taken for dead.
	deafAfter = 150 * time.Millisecond
)

// Options configure a Mirror.
type Options struct {
	Source Source
	Sink   Sink
	// Prefix is the prefix of the keys to copy.
	Prefix string
	// ProbeKey is read regularly: it proves that the store is reachable and that
	// the copy of that key is the newest one.
	ProbeKey string
	// ProbeEvery is the time between two reads of the probed key.
	ProbeEvery time.Duration
	// Proof is confirmed by each read of the probed key.
	Proof *fresh.Proof
	// Now reads the clock of the proof.
	Now    func() fresh.Moment
	Logger *event.Logger
	Random *rand.Rand
}

// Mirror is the copy. Run fills it.
type Mirror struct {
	options Options

	mutex sync.Mutex
	// position is the revision up to which all changes have been taken over.
	position int64
	// probed is the newest revision of the probed key that was taken over.
	probed int64
	// interrupt ends the call for changes that is under way.
	interrupt context.CancelFunc
	random    *rand.Rand

	// health guards the fields below; the sink asks for them while mutex is held.
	health sync.Mutex
	// lostAt is when the store became unreachable, zero while it is reachable.
	lostAt time.Time
	// returnedAt is when the store was last reachable again after a loss.
	returnedAt time.Time
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	return &Mirror{options: options, random: options.Random}
}

// Run copies until the context ends.
func (mirror *Mirror) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { mirror.follow(ctx) })
	group.Go(func() { mirror.probe(ctx) })
	group.Wait()
}

// Unsettled reports whether the store is unreachable or came back less than the
// given time ago: what has vanished from it then may still come back.
func (mirror *Mirror) Unsettled(now time.Time, within time.Duration) bool {
	mirror.health.Lock()
	defer mirror.health.Unlock()
	return !mirror.lostAt.IsZero() || !mirror.returnedAt.IsZero() && now.Sub(mirror.returnedAt) < within
}

// follow lists all keys and then takes over change by change.
func (mirror *Mirror) follow(ctx context.Context) {
	pause := retryBase
	for ctx.Err() == nil {
		err := mirror.list(ctx)
		for err == nil && ctx.Err() == nil {
			err = mirror.await(ctx)
			if err == nil {
				pause = retryBase
				sleep(ctx, settle)
			} else if !fault.Is(err, store.Compacted) {
				// The place in the history is kept: only a compaction needs a new list.
				mirror.failed(err, "changes")
				sleep(ctx, mirror.jitter(pause))
				pause = min(2*pause, retryCeiling)
				err = nil
			}
		}
		if ctx.Err() != nil {
			return
		}
		mirror.failed(err, "list")
		sleep(ctx, mirror.jitter(pause))
		pause = min(2*pause, retryCeiling)
	}
}

func (mirror *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := mirror.options.Source.Range(ctx, mirror.options.Prefix)
	if err != nil {
		return err
	}
	mirror.reached()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.position = revision
	kept := entries[:0]
	for _, entry := range entries {
		if entry.Key == mirror.options.ProbeKey && !mirror.newer(entry.Revision) {
			continue
		}
		kept = append(kept, entry)
	}
	mirror.options.Sink.Listed(kept)
	return nil
}

// newer notes the revision of the probed key and reports whether it is new. The
// mutex is held.
func (mirror *Mirror) newer(revision int64) bool {
	if revision <= mirror.probed {
		return false
	}
	mirror.probed = revision
	return true
}

// await waits for changes once.
func (mirror *Mirror) await(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mirror.mutex.Lock()
	after := mirror.position
	mirror.interrupt = cancel
	mirror.mutex.Unlock()
	events, revision, err := mirror.options.Source.Changes(ctx, mirror.options.Prefix, after, longestWait)
	if err != nil {
		if ctx.Err() != nil {
			// The probe found the call deaf; the next one starts at once.
			return nil
		}
		return err
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	for _, change := range events {
		if change.Entry.Key == mirror.options.ProbeKey && !mirror.newer(change.Entry.Revision) {
			continue
		}
		mirror.options.Sink.Changed(change)
	}
	mirror.position = max(mirror.position, revision)
	return nil
}

// probe reads the probed key at regular times.
func (mirror *Mirror) probe(ctx context.Context) {
	for ctx.Err() == nil {
		pause := mirror.options.ProbeEvery
		if err := mirror.probeOnce(ctx); err != nil {
			mirror.failed(err, "probe")
			pause = retryBase
		}
		sleep(ctx, mirror.jitter(pause))
	}
}

func (mirror *Mirror) probeOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	before := mirror.options.Now()
	entry, revision, err := mirror.options.Source.Get(ctx, mirror.options.ProbeKey)
	if err != nil && !fault.Is(err, store.Absent) {
		return err
	}
	mirror.reached()
	if err != nil {
		// There is no configuration yet, so there is nothing to confirm.
		return nil
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.newer(entry.Revision) {
		mirror.options.Sink.Changed(store.Event{Entry: entry})
	}
	mirror.options.Proof.Confirm(before)
	if revision > mirror.position && mirror.position > 0 {
		time.AfterFunc(deafAfter, func() { mirror.unstick(revision) })
	}
	return nil
}

// unstick ends a call for changes that has not delivered a revision which the
// store is known to have reached.
func (mirror *Mirror) unstick(revision int64) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.position < revision && mirror.interrupt != nil {
		mirror.options.Logger.Log(event.WatchDeaf(), logrus.Fields{"position": mirror.position, "revision": revision})
		mirror.interrupt()
	}
}

// reached notes that the store answered.
func (mirror *Mirror) reached() {
	mirror.health.Lock()
	defer mirror.health.Unlock()
	if mirror.lostAt.IsZero() {
		return
	}
	now := time.Now()
	mirror.options.Logger.Log(event.StoreRegained(), logrus.Fields{"lost_ms": now.Sub(mirror.lostAt).Milliseconds()})
	mirror.lostAt, mirror.returnedAt = time.Time{}, now
}

// failed notes that the store did not answer.
func (mirror *Mirror) failed(err error, call string) {
	if fault.Is(err, store.Compacted) {
		mirror.options.Logger.Log(event.HistoryGone(), nil)
		return
	}
	mirror.health.Lock()
	defer mirror.health.Unlock()
	if !mirror.lostAt.IsZero() {
		return
	}
	mirror.lostAt = time.Now()
	mirror.options.Logger.Log(event.StoreLost(), logrus.Fields{"call": call, "error": err.Error()})
}

// jitter spreads pauses by a quarter, so that hosts do not call together.
func (mirror *Mirror) jitter(pause time.Duration) time.Duration {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return pause - time.Duration(mirror.random.Int64N(int64(pause)/4+1))
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
