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
the history is kept through an outage; only a compaction or a restoration of the store
requires a new listing.

The first listing is a stale read, which is cheaper, because many hosts may start
together. A call for the changes since then makes it current. After a compaction the
listing must not be stale: the history after its revision might be gone too. After a
restoration a stale listing might hold what the restored store has lost.
*/
func (mirror *Mirror) followChanges(ctx context.Context) {
	delay, listed, stale := pollDelayBase, false, true
	for ctx.Err() == nil {
		mirror.WaitReachable(ctx)
		if mirror.isRestored() {
			listed, stale = false, false
		}
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
	exists := mirror.probed.Revision > 0
	mirror.mutex.Unlock()
	if !exists {
		sleep(ctx, delay)
	}
}

// list reads all keys and passes them to the sink. It fails with store.Compacted if the
// store was restored meanwhile.
func (mirror *Mirror) list(ctx context.Context, stale bool) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, position, err := mirror.options.Source.Range(ctx, mirror.options.Prefix, stale)
	if err != nil {
		return err
	}
	mirror.recordSuccess()
	mirror.ObserveEra(position.Era)
	if !stale {
		mirror.options.Grace.Read(position.Era, time.Now())
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if position.Era != mirror.position.Era {
		return fault.New("mirror.list", store.Compacted, "the store was restored while its keys were listed")
	}
	if position.Before(mirror.position) {
		// Batches of other hosts have brought the copy further meanwhile.
		return nil
	}
	restored := mirror.restored
	mirror.position, mirror.restored, mirror.justListed = position, false, true
	mirror.history.reset()
	kept := entries[:0]
	for _, entry := range entries {
		if entry.Key == mirror.options.ProbeKey && !mirror.advanceProbed(store.Position{Era: position.Era, Revision: entry.Revision}) {
			continue
		}
		kept = append(kept, entry)
	}
	mirror.options.Sink.Listed(kept, restored)
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
	mirror.ObserveEra(batch.Era)
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	position := mirror.position
	switch {
	case position.Revision == 0 || batch.Era != position.Era || batch.Until <= position.Revision:
	case batch.After > position.Revision:
		mirror.expectPosition(store.Position{Era: batch.Era, Revision: batch.Until})
	default:
		mirror.advance(mirror.applyEvents(batch.Events), store.Position{Era: batch.Era, Revision: batch.Until})
	}
}

// advance moves the position within its era and keeps the changes up to it for other
// hosts. The mutex is held.
func (mirror *Mirror) advance(applied []store.Event, position store.Position) {
	if !mirror.position.Before(position) {
		return
	}
	after := mirror.position.Revision
	mirror.history.add(Batch{Era: position.Era, After: after, Until: position.Revision, Events: changesAfter(applied, after)})
	mirror.position = position
	mirror.reachCurrency()
}

// Since returns all changes with new information after a position, for a host that
// missed them. It returns false if there are none or if not all of them are kept.
func (mirror *Mirror) Since(position store.Position) (Batch, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if position.Era != mirror.position.Era {
		return Batch{}, false
	}
	return mirror.history.since(position.Revision)
}

// Position returns the position up to which all changes have been applied.
func (mirror *Mirror) Position() store.Position {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.position
}

// ExpectPosition records that another host has applied the changes up to a position.
// If they do not arrive in time, they are read from the store.
func (mirror *Mirror) ExpectPosition(position store.Position) {
	mirror.ObserveEra(position.Era)
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.expectPosition(position)
}

// applyEvents applies changes after the position. It returns the changes to publish:
// those with new information, those of the probed key, those that were applied
// before from another host's batch, because the receivers may have missed that batch,
// and those that a listing may have contained. The mutex is held.
func (mirror *Mirror) applyEvents(events []store.Event) []store.Event {
	var published []store.Event
	for _, change := range events {
		known := change.Entry.Revision <= mirror.position.Revision
		isProbeKey := change.Entry.Key == mirror.options.ProbeKey
		changed := false
		if !known && (!isProbeKey || mirror.advanceProbed(store.Position{Era: mirror.position.Era, Revision: change.Entry.Revision})) {
			changed = mirror.options.Sink.Changed(change)
		}
		if known || isProbeKey || changed || mirror.justListed {
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
	events, position, err := mirror.options.Source.Changes(ctx, mirror.options.Prefix, after, timeout)
	if err != nil {
		if ctx.Err() != nil {
			// The call was cancelled as stalled or Run is ending. Neither is a
			// failure of the store.
			return false, nil
		}
		return false, err
	}
	mirror.ObserveEra(position.Era)
	mirror.options.Grace.Read(position.Era, time.Now())
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if after.Era != mirror.position.Era || position.Era != after.Era {
		// The store was restored meanwhile.
		return false, nil
	}
	published := mirror.applyEvents(events)
	mirror.justListed = false
	mirror.advance(published, position)
	if len(events) > 0 && publish {
		mirror.options.Publish(Batch{Era: after.Era, After: after.Revision, Until: position.Revision, Events: published})
	}
	return len(events) > 0, nil
}

// expectPosition implements ExpectPosition. The mutex is held.
func (mirror *Mirror) expectPosition(position store.Position) {
	known := mirror.position
	if known.Revision == 0 || position.Era != known.Era || !known.Before(position) || !mirror.expected.Before(position) {
		return
	}
	mirror.expected = position
	timeout := pollStallTimeout
	if !mirror.options.IsWatcher() {
		timeout = standbyLagTimeout
	}
	time.AfterFunc(timeout, func() { mirror.restartStalledPoll(position) })
}

// restartStalledPoll cancels a poll that has not delivered a position which the store
// is known to have reached. A standby host reads the missing changes instead.
func (mirror *Mirror) restartStalledPoll(position store.Position) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if !mirror.position.Before(position) {
		return
	}
	select {
	case mirror.catchUp <- struct{}{}:
	default:
	}
	if mirror.cancelPoll != nil && mirror.options.IsWatcher() {
		mirror.options.Logger.Log(event.WatchDeaf(), logrus.Fields{"position": mirror.position.Revision, "revision": position.Revision})
		mirror.cancelPoll()
	}
}
