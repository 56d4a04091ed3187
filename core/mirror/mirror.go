// Package mirror keeps a local copy of a prefix of the platform's store. It follows
// changes by long polling, detects outages and confirms how recent the copy is.
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
	"primrosegw/core/grace"
	"primrosegw/core/store"
)

// Source is the read interface of the store that a mirror uses.
type Source interface {
	// Get reads one key with the store's position. It fails with store.Absent or
	// store.Unavailable.
	Get(ctx context.Context, key string) (entry store.Entry, position store.Position, err error)
	// Range reads all keys with a prefix, with a position after which changes may be
	// missing in them. A stale read is cheaper, and may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]store.Entry, store.Position, error)
	// Changes waits for changes after a position and returns them with the
	// position to continue from. It fails with store.Compacted if the history
	// after the position is no longer kept.
	Changes(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error)
}

// Sink receives what the mirror reads. Its methods are never called concurrently.
type Sink interface {
	// Changed is called for each write or removal, in the order of revisions. It
	// reports whether the change carries new information: many writes are only
	// heartbeats that repeat the previous value.
	Changed(change store.Event) bool
	// Listed is called with all keys on the first listing, after a compaction and
	// after the store was restored from a copy. It leaves out the probed key if its
	// position was delivered before. If restored is set, entries may be older than
	// those that were delivered before.
	Listed(entries []store.Entry, restored bool)
}

// ReregistrationGrace is the time after the end of a store outage within which the
// store's clients write entries again whose leases lapsed.
const ReregistrationGrace = 2100 * time.Millisecond

const (
	// longPollTimeout is how long one call waits for changes.
	longPollTimeout = 25 * time.Second
	// pollDelayBase and pollDelayMax bound the delay after a call that returned
	// changes, so that changes in quick succession are read with one call. The delay
	// doubles as long as every call returns changes.
	pollDelayBase = 80 * time.Millisecond
	pollDelayMax  = 500 * time.Millisecond
	// retryDelayBase and retryDelayMax bound the delay after a failed call.
	retryDelayBase = 150 * time.Millisecond
	retryDelayMax  = 800 * time.Millisecond
	// probeTimeout limits a read of the probed key.
	probeTimeout = 700 * time.Millisecond
	// listTimeout limits a listing of all keys, which takes several calls if there
	// are thousands of them. The source limits each call by itself.
	listTimeout = 15 * time.Second
	// catchUpTimeout is how long a standby's call for missing changes waits. The
	// changes are known to exist, so the call need not wait for new ones.
	catchUpTimeout = 50 * time.Millisecond
	// roleCheckInterval is how often a host checks whether it has become a watcher.
	roleCheckInterval = 250 * time.Millisecond
	// absentRetryDelay is the delay before a missing probed key is read again.
	absentRetryDelay = 700 * time.Millisecond
	// startDelayMin and startDelayMax bound the delay between the first listing and
	// the first call for changes while there is no probed key yet. Hosts that start
	// together register in this time, so each of them reads all entries at once.
	startDelayMin = 400 * time.Millisecond
	startDelayMax = time.Second
	// idleRetryDelayMax replaces retryDelayMax on idle hosts.
	idleRetryDelayMax = 2 * time.Second
	// firstProofTimeout is how long an idle host waits for a proof from other hosts
	// before it reads the probed key itself.
	firstProofTimeout = 4 * time.Second
	// probeSpread and standbyProbeSpread are the parts of the probe interval over
	// which the reads of different hosts are spread.
	probeSpread        = 0.5
	standbyProbeSpread = 0.2
	// pollStallTimeout is how long the mirror may lag behind a known revision of the
	// store before the poll in progress is considered stalled.
	pollStallTimeout = 700 * time.Millisecond
	// standbyLagTimeout is how long a standby host may lag before it reads the missing
	// changes from the store, which leaves the watchers time to send them again.
	standbyLagTimeout = 1700 * time.Millisecond
)

// Options configure a Mirror.
type Options struct {
	Source Source
	Sink   Sink
	// Prefix selects the keys to copy.
	Prefix string
	// ProbeKey is the key that is read regularly. A successful read proves that the
	// store is reachable and that the copy of the key is current.
	ProbeKey string
	// ProbeInterval is the highest age of the proof at which the probed key is read.
	ProbeInterval time.Duration
	// StandbyProbeInterval replaces ProbeInterval on hosts that are not watchers; 0
	// keeps ProbeInterval.
	StandbyProbeInterval time.Duration
	// Proof is confirmed by each successful read of the probed key.
	Proof *fresh.Proof
	// Now reads the clock that Proof uses.
	Now    func() fresh.Instant
	Logger *event.Logger
	Random *rand.Rand
	// IsWatcher reports whether this host polls the store for changes. Other hosts
	// receive the changes from watchers. Nil means that it is a watcher.
	IsWatcher func() bool
	// IsIdle reports whether this host neither watches the store nor is sent
	// requests, so that it can wait longer before it calls the store. Nil means that
	// it is not idle.
	IsIdle func() bool
	// IsCurrent reports whether what the store holds under ProbeKey is the newest value
	// that is known, so that reading it is a proof. Nil means that it always is.
	IsCurrent func() bool
	// MayProve reports whether a read of ProbeKey that begins now may be a proof, and in which era of the store.
	// IsCurrent is asked after the read, which may have taken long. Nil means that it may in each era.
	MayProve func() (era int64, may bool)
	// BeforeProbe is called before the first read of the probed key, and may wait for proofs of
	// other hosts. It may be nil.
	BeforeProbe func(ctx context.Context)
	// Grace is the time in which the clients of the store write again what it lost when it was restored. The
	// mirror records there which era it reads, and when it can't. Nil means one of ReregistrationGrace.
	Grace *grace.Period
	// OnRestored is called after the store was restored from a copy, in which all that
	// was written lately is missing. It may be nil.
	OnRestored func()
	// Publish is called with the changes that this host has read from the store. It
	// may be nil.
	Publish func(Batch)
}

// Batch is a range of changes that a watcher sends to other hosts.
type Batch struct {
	// After (exclusive) and Until (inclusive) delimit the revisions for which Events
	// holds all changes with new information.
	After  int64         `cbor:"1,keyasint"`
	Until  int64         `cbor:"2,keyasint"`
	Events []store.Event `cbor:"3,keyasint,omitempty"`
	// Era is the era of the revisions.
	Era int64 `cbor:"4,keyasint,omitempty"`
}

// Prepend returns the batch extended by the previous one, so that a host which lost
// the previous one misses nothing. It returns the batch unchanged if the two are not
// contiguous.
func (batch Batch) Prepend(previous Batch) Batch {
	if previous.Era != batch.Era || previous.Until != batch.After || previous.Until == 0 {
		return batch
	}
	return Batch{Era: batch.Era, After: previous.After, Until: batch.Until, Events: slices.Concat(previous.Events, batch.Events)}
}

// Mirror delivers the copy to its sink and tracks the position in the store's change
// history. Run keeps it up to date.
type Mirror struct {
	options Options

	mutex sync.Mutex
	// position is the position up to which all changes have been applied. Its era is
	// the newest that is known, and its revision is 0 until the keys of the era have
	// been listed.
	position store.Position
	// restored is set until the keys of a restored store have been listed.
	restored bool
	// justListed is set from a listing until the changes after it have been read: it may hold some of
	// them, and lack what others removed.
	justListed bool
	// history holds the changes that were applied last.
	history history
	// probed is the newest position of the probed key that was applied.
	probed store.Position
	// expected is the newest position that the store is known to have reached.
	expected store.Position
	// currency says as of when the copy is complete.
	currency currency
	// catchUp makes a standby host read missing changes from the store.
	catchUp chan struct{}
	// cancelPoll cancels the call for changes that is in progress.
	cancelPoll context.CancelFunc
	random     *rand.Rand
	// probePhase, from 0 to 1, is where in the spread of the probe interval the
	// probed key is read. It is drawn again after each read.
	probePhase float64
	// startedAt is when Run was called.
	startedAt time.Time
	// caughtUp is closed after the first call for changes, or after the first failed
	// call.
	caughtUp     chan struct{}
	caughtUpOnce sync.Once

	// healthMutex guards the fields below. It is separate because the sink reads
	// them while mutex is held.
	healthMutex sync.Mutex
	// lostAt is when the store became unreachable, zero while it is reachable.
	lostAt time.Time
	// regainedAt is when the store last became reachable again or was found restored.
	regainedAt time.Time
	// regained is closed when the store becomes reachable again; nil while it is
	// reachable.
	regained chan struct{}
	// wakeProbe wakes the probe after another call has failed.
	wakeProbe chan struct{}
}

// New returns a mirror that has read nothing yet.
func New(options Options) *Mirror {
	if options.IsWatcher == nil {
		options.IsWatcher = func() bool { return true }
	}
	if options.IsIdle == nil {
		options.IsIdle = func() bool { return false }
	}
	if options.IsCurrent == nil {
		options.IsCurrent = func() bool { return true }
	}
	if options.MayProve == nil {
		options.MayProve = func() (int64, bool) { return anyEra, true }
	}
	if options.BeforeProbe == nil {
		options.BeforeProbe = func(context.Context) {}
	}
	if options.Grace == nil {
		options.Grace = grace.New(ReregistrationGrace)
	}
	if options.OnRestored == nil {
		options.OnRestored = func() {}
	}
	if options.Publish == nil {
		options.Publish = func(Batch) {}
	}
	mirror := &Mirror{
		options: options, position: store.Position{Era: unknownEra}, random: options.Random, wakeProbe: make(chan struct{}, 1), catchUp: make(chan struct{}, 1),
		caughtUp: make(chan struct{}),
	}
	mirror.drawProbePhase()
	return mirror
}

// Run keeps the copy up to date until the context ends.
func (mirror *Mirror) Run(ctx context.Context) {
	mirror.mutex.Lock()
	mirror.startedAt = time.Now()
	mirror.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { mirror.followChanges(ctx) })
	group.Go(func() { mirror.runProbe(ctx) })
	group.Wait()
}

// ReregistrationDeadline returns the time until which a key that is missing now may
// be written again: its lease may have lapsed in a store outage while its owner was
// alive. It reports false if no outage can explain a missing key.
func (mirror *Mirror) ReregistrationDeadline(now time.Time) (time.Time, bool) {
	mirror.healthMutex.Lock()
	defer mirror.healthMutex.Unlock()
	if !mirror.lostAt.IsZero() {
		return now.Add(ReregistrationGrace), true
	}
	deadline := mirror.regainedAt.Add(ReregistrationGrace)
	return deadline, !mirror.regainedAt.IsZero() && now.Before(deadline)
}

// WaitReachable waits until the store is reachable or the context ends.
func (mirror *Mirror) WaitReachable(ctx context.Context) {
	mirror.healthMutex.Lock()
	regained := mirror.regained
	mirror.healthMutex.Unlock()
	if regained == nil {
		return
	}
	select {
	case <-regained:
	case <-ctx.Done():
	}
}

// WaitCaughtUp waits until the changes since the first listing have been applied, a
// call to the store has failed, or the context ends.
func (mirror *Mirror) WaitCaughtUp(ctx context.Context) {
	select {
	case <-mirror.caughtUp:
	case <-ctx.Done():
	}
}

// advanceProbed records a position of the probed key and reports whether it is newer
// than the recorded one. The mutex is held.
func (mirror *Mirror) advanceProbed(position store.Position) bool {
	if !mirror.probed.Before(position) {
		return false
	}
	mirror.probed = position
	return true
}

// recordSuccess records that the store answered.
func (mirror *Mirror) recordSuccess() {
	mirror.healthMutex.Lock()
	defer mirror.healthMutex.Unlock()
	if mirror.lostAt.IsZero() {
		return
	}
	now := time.Now()
	mirror.options.Logger.Log(event.StoreRegained(), logrus.Fields{"lost_ms": now.Sub(mirror.lostAt).Milliseconds()})
	mirror.lostAt, mirror.regainedAt = time.Time{}, now
	close(mirror.regained)
	mirror.regained = nil
}

// RecordFailure records that the store did not answer a call. The probe then retries
// until it does. A compaction is logged but is no outage.
func (mirror *Mirror) RecordFailure(err error, call string) {
	if fault.Is(err, store.Compacted) {
		mirror.options.Logger.Log(event.HistoryGone(), nil)
		return
	}
	mirror.healthMutex.Lock()
	defer mirror.healthMutex.Unlock()
	if !mirror.lostAt.IsZero() {
		return
	}
	mirror.lostAt, mirror.regained = time.Now(), make(chan struct{})
	// What waits for the mirror must not, as the mirror waits until the probe reaches the store.
	mirror.caughtUpOnce.Do(func() { close(mirror.caughtUp) })
	mirror.WakeProbe()
	mirror.options.Logger.Log(event.StoreLost(), logrus.Fields{"call": call, "error": err.Error()})
}

// jitter shortens a delay by up to a quarter, so that hosts do not call the store at
// the same time.
func (mirror *Mirror) jitter(delay time.Duration) time.Duration {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return delay - time.Duration(mirror.random.Int64N(int64(delay)/4+1))
}

// sleep waits for the delay or until the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
