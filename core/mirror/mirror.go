// Package mirror keeps a copy of the keys of the platform's store that a host
// needs, and knows how old the copy may be.
package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// Changed is called for each write or removal, in the order of revisions. It
	// reports whether the change says anything new: many writes only show that their
	// writer lives.
	Changed(change store.Event) bool
	// Listed is called with all keys after the mirror was empty or lost its place.
	Listed(entries []store.Entry)
}

// ComeBackTime is the time after the store's return within which its clients have
// written their entries again.
const ComeBackTime = 2100 * time.Millisecond

const (
	// longestWait is how long one call waits for changes.
	longestWait = 25 * time.Second
	// settleBase and settleCeiling bound the pause between two calls for changes,
	// so that changes that come together take one call. It doubles while there
	// are changes each time.
	settleBase    = 80 * time.Millisecond
	settleCeiling = 500 * time.Millisecond
	// retryBase and retryCeiling bound the pause after a failed call.
	retryBase    = 150 * time.Millisecond
	retryCeiling = 800 * time.Millisecond
	// probeTimeout bounds a read of the probed key.
	probeTimeout = 700 * time.Millisecond
	// listTimeout bounds a listing of all keys, which takes several calls where
	// there are thousands of them. The source bounds each call by itself.
	listTimeout = 15 * time.Second
	// catchUpWait is how long a host that does not wait at the store lets a call
	// for changes that exist wait.
	catchUpWait = 50 * time.Millisecond
	// roleCheck is the time between two looks at whether the host is to wait at
	// the store.
	roleCheck = 250 * time.Millisecond
	// absentPause is the pause before a missing key is read again.
	absentPause = 700 * time.Millisecond
	// deafAfter is how long a call for changes may lag behind the store's
	// revision before it is taken for dead.
	deafAfter = 700 * time.Millisecond
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
	// ProbeEvery is the longest age of the proof before the probed key is read.
	ProbeEvery time.Duration
	// StandbyProbeEvery is that of hosts that do not wait at the store; 0: the same.
	StandbyProbeEvery time.Duration
	// Proof is confirmed by each read of the probed key.
	Proof *fresh.Proof
	// Now reads the clock of the proof.
	Now    func() fresh.Instant
	Logger *event.Logger
	Random *rand.Rand
	// Watches reports whether this host waits for changes at the store itself. The
	// others take them over from hosts that do; nil: it does.
	Watches func() bool
	// Share is called with the changes that this host has read; nil: nothing.
	Share func(Batch)
}

// Batch is changes that hosts pass on to each other.
type Batch struct {
	// After and Until are the revisions between which these are all changes that say
	// anything new.
	After  int64         `cbor:"1,keyasint"`
	Until  int64         `cbor:"2,keyasint"`
	Events []store.Event `cbor:"3,keyasint,omitempty"`
}

// Join returns the batch with the one before it, so that a host which missed that
// one lacks nothing. Batches that do not follow each other are not joined.
func (batch Batch) Join(before Batch) Batch {
	if before.Until != batch.After || before.Until == 0 {
		return batch
	}
	return Batch{After: before.After, Until: batch.Until, Events: slices.Concat(before.Events, batch.Events)}
}

// Mirror is the copy. Run fills it.
type Mirror struct {
	options Options

	mutex sync.Mutex
	// position is the revision up to which all changes have been taken over.
	position int64
	// probed is the newest revision of the probed key that was taken over.
	probed int64
	// expected is the newest revision that the store is known to have reached.
	expected int64
	// behind tells a host that does not wait at the store to read what it lacks.
	behind chan struct{}
	// interrupt ends the call for changes that is under way.
	interrupt context.CancelFunc
	random    *rand.Rand
	// draw is the part of the longest age at which the probed key is read. It is
	// drawn anew after each read.
	draw float64

	// health guards the fields below; the sink asks for them while mutex is held.
	health sync.Mutex
	// lostAt is when the store became unreachable, zero while it is reachable.
	lostAt time.Time
	// returnedAt is when the store was last reachable again after a loss.
	returnedAt time.Time
	// back is closed when the store is reachable again.
	back chan struct{}
	// kick wakes the probe after another call has failed.
	kick chan struct{}
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	if options.Watches == nil {
		options.Watches = func() bool { return true }
	}
	if options.Share == nil {
		options.Share = func(Batch) {}
	}
	mirror := &Mirror{options: options, random: options.Random, kick: make(chan struct{}, 1), behind: make(chan struct{}, 1)}
	mirror.redraw()
	return mirror
}

// Run copies until the context ends.
func (mirror *Mirror) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { mirror.follow(ctx) })
	group.Go(func() { mirror.probe(ctx) })
	group.Wait()
}

// MayComeBack returns the time until which a key that is found to be gone now may
// still come back: its lease may have lapsed while the store was away, and its
// owner writes it again. It reports false when a vanished key is gone for good.
func (mirror *Mirror) MayComeBack(now time.Time) (time.Time, bool) {
	mirror.health.Lock()
	defer mirror.health.Unlock()
	if !mirror.lostAt.IsZero() {
		return now.Add(ComeBackTime), true
	}
	until := mirror.returnedAt.Add(ComeBackTime)
	return until, !mirror.returnedAt.IsZero() && now.Before(until)
}

// Reachable waits until the store answers, or the context ends.
func (mirror *Mirror) Reachable(ctx context.Context) {
	mirror.health.Lock()
	back := mirror.back
	mirror.health.Unlock()
	if back == nil {
		return
	}
	select {
	case <-back:
	case <-ctx.Done():
	}
}

// Revision returns the revision of the probed key that was taken over last.
func (mirror *Mirror) Revision() int64 {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.probed
}

// follow lists all keys and then takes over change by change. The place in the
// history is kept in an outage: only a compaction needs a new list.
func (mirror *Mirror) follow(ctx context.Context) {
	settle, listed := settleBase, false
	for ctx.Err() == nil {
		mirror.Reachable(ctx)
		var err error
		changed := false
		switch {
		case !listed:
			err = mirror.list(ctx)
		case mirror.options.Watches():
			changed, err = mirror.await(ctx, longestWait)
		case mirror.lacks(ctx):
			changed, err = mirror.await(ctx, catchUpWait)
		}
		listed = err == nil || listed && !fault.Is(err, store.Compacted)
		if err != nil && ctx.Err() == nil {
			mirror.Failed(err, "follow")
			sleep(ctx, mirror.jitter(retryBase))
			continue
		}
		if changed {
			sleep(ctx, settle)
			settle = min(2*settle, settleCeiling)
		} else {
			settle = settleBase
		}
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

// lacks waits a while and reports whether changes have to be read at the store
// that other hosts did not pass on.
func (mirror *Mirror) lacks(ctx context.Context) bool {
	timer := time.NewTimer(roleCheck)
	defer timer.Stop()
	select {
	case <-mirror.behind:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Take takes over changes that another host has read. Changes that are missing
// in between are read at the store soon.
func (mirror *Mirror) Take(batch Batch) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	switch {
	case mirror.position == 0 || batch.Until <= mirror.position:
	case batch.After > mirror.position:
		mirror.expect(batch.Until)
	default:
		mirror.apply(batch.Events)
		mirror.position = batch.Until
	}
}

// Position returns the revision up to which all changes have been taken over.
func (mirror *Mirror) Position() int64 {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.position
}

// Expect sees to it that the changes up to a revision, which another host has
// taken over, arrive soon.
func (mirror *Mirror) Expect(revision int64) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.expect(revision)
}

// apply takes over changes that are new. It returns those that other hosts need:
// all that say something new, and those that this host knew before, as the others
// may not. The mutex is held.
func (mirror *Mirror) apply(events []store.Event) []store.Event {
	var needed []store.Event
	for _, change := range events {
		known := change.Entry.Revision <= mirror.position
		probed := change.Entry.Key == mirror.options.ProbeKey
		news := false
		if !known && (!probed || mirror.newer(change.Entry.Revision)) {
			news = mirror.options.Sink.Changed(change)
		}
		if known || probed || news {
			needed = append(needed, change)
		}
	}
	return needed
}

// await waits for changes once and reports whether there were any.
func (mirror *Mirror) await(ctx context.Context, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mirror.mutex.Lock()
	after := mirror.position
	mirror.interrupt = cancel
	mirror.mutex.Unlock()
	events, revision, err := mirror.options.Source.Changes(ctx, mirror.options.Prefix, after, wait)
	if err != nil {
		if ctx.Err() != nil {
			// The call was found deaf; the next one starts at once.
			return false, nil
		}
		return false, err
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	needed := mirror.apply(events)
	if revision > mirror.position {
		mirror.position = revision
	}
	if len(events) > 0 {
		mirror.options.Share(Batch{After: after, Until: revision, Events: needed})
	}
	return len(events) > 0, nil
}

// probe reads the probed key whenever the proof has become old. Other hosts may
// renew it, so that few of them read.
func (mirror *Mirror) probe(ctx context.Context) {
	pause := retryBase
	for ctx.Err() == nil {
		if wait := mirror.untilDue(); wait > 0 {
			mirror.rest(ctx, wait)
			continue
		}
		err := mirror.probeOnce(ctx)
		if err == nil {
			pause = retryBase
			mirror.redraw()
			continue
		}
		if ctx.Err() == nil {
			mirror.Failed(err, "probe")
		}
		sleep(ctx, mirror.jitter(pause))
		pause = min(2*pause, retryCeiling)
	}
}

// untilDue returns the time until the probed key has to be read. Hosts draw
// different ages, so that the first one spares the others the call. Those that do
// not wait at the store hear the proofs of those that do, and ask later.
func (mirror *Mirror) untilDue() time.Duration {
	mirror.health.Lock()
	lost := !mirror.lostAt.IsZero()
	mirror.health.Unlock()
	age, known := mirror.options.Proof.Age(mirror.options.Now())
	if lost || !known {
		return 0
	}
	every := mirror.options.ProbeEvery
	if mirror.options.StandbyProbeEvery > 0 && !mirror.options.Watches() {
		every = mirror.options.StandbyProbeEvery
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return time.Duration(mirror.draw*float64(every)) - age
}

// redraw draws the age for the next read from the upper half.
func (mirror *Mirror) redraw() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.draw = 1 - mirror.random.Float64()/2
}

// rest waits, but not beyond another call's failure.
func (mirror *Mirror) rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-mirror.kick:
	case <-ctx.Done():
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
		sleep(ctx, mirror.jitter(absentPause))
		return nil
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.newer(entry.Revision) {
		mirror.options.Sink.Changed(store.Event{Entry: entry})
	}
	mirror.options.Proof.Confirm(before)
	mirror.expect(revision)
	return nil
}

// expect sees to it that the changes up to a revision arrive soon. The mutex is
// held.
func (mirror *Mirror) expect(revision int64) {
	if revision > max(mirror.position, mirror.expected) && mirror.position > 0 {
		mirror.expected = revision
		time.AfterFunc(deafAfter, func() { mirror.unstick(revision) })
	}
}

// unstick ends a call for changes that has not delivered a revision which the
// store is known to have reached.
func (mirror *Mirror) unstick(revision int64) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.position >= revision {
		return
	}
	select {
	case mirror.behind <- struct{}{}:
	default:
	}
	if mirror.interrupt != nil && mirror.options.Watches() {
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
	close(mirror.back)
	mirror.back = nil
}

// Failed notes that the store did not answer a call. The probe then asks until
// it does.
func (mirror *Mirror) Failed(err error, call string) {
	if fault.Is(err, store.Compacted) {
		mirror.options.Logger.Log(event.HistoryGone(), nil)
		return
	}
	mirror.health.Lock()
	defer mirror.health.Unlock()
	if !mirror.lostAt.IsZero() {
		return
	}
	mirror.lostAt, mirror.back = time.Now(), make(chan struct{})
	select {
	case mirror.kick <- struct{}{}:
	default:
	}
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
