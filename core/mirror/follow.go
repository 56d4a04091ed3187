package mirror

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/store"
)

/*
followChanges lists all keys and then applies changes as they arrive. The position in
the history is kept through an outage; only a compaction requires a new listing.

The first listing is a stale read, which is cheaper, because many hosts may start
together. A call for the changes since then makes it current. After a compaction the
listing must not be stale: the history after its revision might be gone too.
*/
func (mirror *Mirror) followChanges(ctx context.Context) {
	delay, listed, stale := pollDelayBase, false, true
	for ctx.Err() == nil {
		mirror.WaitReachable(ctx)
		var err error
		changed := false
		switch {
		case !listed:
			err = mirror.list(ctx, stale)
		case stale:
			mirror.waitForOthers(ctx)
			// The other hosts make the same call.
			changed, err = mirror.poll(ctx, catchUpTimeout, false)
			stale = err != nil
		case mirror.options.IsWatcher():
			changed, err = mirror.poll(ctx, longPollTimeout, true)
		case mirror.waitBehind(ctx):
			changed, err = mirror.poll(ctx, catchUpTimeout, true)
		}
		compacted := fault.Is(err, store.Compacted)
		listed = err == nil || listed && !compacted
		stale = stale && !compacted
		if !stale || err != nil {
			mirror.caughtUpOnce.Do(func() { close(mirror.caughtUp) })
		}
		if err != nil && ctx.Err() == nil {
			mirror.RecordFailure(err, "follow")
			sleep(ctx, mirror.jitter(retryDelayBase))
			continue
		}
		if changed {
			sleep(ctx, delay)
			delay = min(2*delay, pollDelayMax)
		} else {
			delay = pollDelayBase
		}
	}
}

// waitForOthers delays the first call for changes while the probed key does not exist.
// If it exists, the host has restarted, and needs the changes at once.
func (mirror *Mirror) waitForOthers(ctx context.Context) {
	mirror.mutex.Lock()
	delay := startDelayMin + time.Duration(mirror.random.Float64()*float64(startDelayMax-startDelayMin))
	exists := mirror.probedRevision > 0
	mirror.mutex.Unlock()
	if !exists {
		sleep(ctx, delay)
	}
}

// list reads all keys and passes them to the sink.
func (mirror *Mirror) list(ctx context.Context, stale bool) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := mirror.options.Source.Range(ctx, mirror.options.Prefix, stale)
	if err != nil {
		return err
	}
	mirror.recordSuccess()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.position = revision
	mirror.history.reset()
	kept := entries[:0]
	for _, entry := range entries {
		if entry.Key == mirror.options.ProbeKey && !mirror.advanceProbed(entry.Revision) {
			continue
		}
		kept = append(kept, entry)
	}
	mirror.options.Sink.Listed(kept)
	return nil
}

// waitBehind waits for up to roleCheckInterval and reports whether changes must be
// read from the store because no watcher sent them.
func (mirror *Mirror) waitBehind(ctx context.Context) bool {
	timer := time.NewTimer(roleCheckInterval)
	defer timer.Stop()
	select {
	case <-mirror.catchUp:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// ApplyBatch applies changes that another host has read. If there is a gap between
// the position and the batch, the missing changes are read from the store unless they
// arrive in time.
func (mirror *Mirror) ApplyBatch(batch Batch) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	switch {
	case mirror.position == 0 || batch.Until <= mirror.position:
	case batch.After > mirror.position:
		mirror.expectRevision(batch.Until)
	default:
		mirror.advance(mirror.applyEvents(batch.Events), batch.Until)
	}
}

// advance moves the position and keeps the changes up to it for other hosts. The mutex
// is held.
func (mirror *Mirror) advance(applied []store.Event, position int64) {
	if position <= mirror.position {
		return
	}
	mirror.history.add(Batch{After: mirror.position, Until: position, Events: changesAfter(applied, mirror.position)})
	mirror.position = position
}

// Since returns all changes with new information after a position, for a host that
// missed them. It returns false if there are none or if not all of them are kept.
func (mirror *Mirror) Since(position int64) (Batch, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.history.since(position)
}

// Position returns the revision up to which all changes have been applied.
func (mirror *Mirror) Position() int64 {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.position
}

// ExpectRevision records that another host has applied the changes up to a revision.
// If they do not arrive in time, they are read from the store.
func (mirror *Mirror) ExpectRevision(revision int64) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.expectRevision(revision)
}

// applyEvents applies changes after the position. It returns the changes to publish:
// those with new information, those of the probed key, and those that were applied
// before from another host's batch, because the receivers may have missed that batch.
// The mutex is held.
func (mirror *Mirror) applyEvents(events []store.Event) []store.Event {
	var published []store.Event
	for _, change := range events {
		known := change.Entry.Revision <= mirror.position
		isProbeKey := change.Entry.Key == mirror.options.ProbeKey
		changed := false
		if !known && (!isProbeKey || mirror.advanceProbed(change.Entry.Revision)) {
			changed = mirror.options.Sink.Changed(change)
		}
		if known || isProbeKey || changed {
			published = append(published, change)
		}
	}
	return published
}

// poll makes one call for changes, publishes them if asked to, and reports whether there
// were any.
func (mirror *Mirror) poll(ctx context.Context, timeout time.Duration, publish bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mirror.mutex.Lock()
	after := mirror.position
	mirror.cancelPoll = cancel
	mirror.mutex.Unlock()
	events, revision, err := mirror.options.Source.Changes(ctx, mirror.options.Prefix, after, timeout)
	if err != nil {
		if ctx.Err() != nil {
			// The call was cancelled as stalled or Run is ending. Neither is a
			// failure of the store.
			return false, nil
		}
		return false, err
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	published := mirror.applyEvents(events)
	mirror.advance(published, revision)
	if len(events) > 0 && publish {
		mirror.options.Publish(Batch{After: after, Until: revision, Events: published})
	}
	return len(events) > 0, nil
}

// expectRevision implements ExpectRevision. The mutex is held.
func (mirror *Mirror) expectRevision(revision int64) {
	if revision > max(mirror.position, mirror.expectedRevision) && mirror.position > 0 {
		mirror.expectedRevision = revision
		timeout := pollStallTimeout
		if !mirror.options.IsWatcher() {
			timeout = standbyLagTimeout
		}
		time.AfterFunc(timeout, func() { mirror.restartStalledPoll(revision) })
	}
}

// restartStalledPoll cancels a poll that has not delivered a revision which the store
// is known to have reached. A standby host reads the missing changes instead.
func (mirror *Mirror) restartStalledPoll(revision int64) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.position >= revision {
		return
	}
	select {
	case mirror.catchUp <- struct{}{}:
	default:
	}
	if mirror.cancelPoll != nil && mirror.options.IsWatcher() {
		mirror.options.Logger.Log(event.WatchDeaf(), logrus.Fields{"position": mirror.position, "revision": revision})
		mirror.cancelPoll()
	}
}
