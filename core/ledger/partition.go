package ledger

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// partition is one entry of the key-value service with the queue of its changes.
// One goroutine, the writer, processes the queue.
//
// The writer applies all queued changes to a copy of the last known records and
// writes the copy by compare-and-swap on the revision that it was read at. A
// conflict means that another host has written: the writer reads the records again
// and reapplies all changes. A write whose reply is lost is resolved in the same
// way: a change that was written finds its own token in the records. If a lost
// write takes effect late, it makes the next swap fail, because both expect the
// same revision.
type partition struct {
	ledger *Ledger
	key    string
	wake   chan struct{}

	mutex         sync.Mutex
	queue         []*change
	writerRunning bool
	// recordSet holds the last known records, nil if none were read.
	recordSet *recordSet
	// current says that recordSet may be used without reading it again. It is
	// cleared when a write fails with a conflict or an uncertain result.
	current bool
	// runningUntil maps the attempts that run in this process to the time until
	// which they are reported as in progress.
	runningUntil map[string]time.Time
	// runningAttempts maps keys to their running attempts.
	runningAttempts map[keyHash]string
	// orphans are attempts whose intent was sent but whose caller was told that
	// they do not run. The writer removes their records. The value is the revision
	// that the last write with the intent expected: in records of a later revision
	// the intent is either present or can never appear.
	orphans map[string]int64
	// startedAttempts holds the attempts that this process let run. It outlives
	// recordSet, so that a call repeated during an outage is not reported as not
	// run.
	startedAttempts     map[keyHash]startedAttempt
	consecutiveFailures int
}

// startedAttempt is the part of an attempt that stays in memory without its record.
type startedAttempt struct {
	attempt string
	until   time.Time
}

func newPartition(ledger *Ledger, number int) *partition {
	return &partition{
		ledger: ledger, key: fmt.Sprintf("primrosegw/%s/ledger/%d", ledger.options.Environment, number),
		wake: make(chan struct{}, 1), runningUntil: map[string]time.Time{}, runningAttempts: map[keyHash]string{},
		orphans: map[string]int64{}, startedAttempts: map[keyHash]startedAttempt{},
	}
}

// enqueue queues a change and wakes the writer. It reports false if the queue is
// full.
func (partition *partition) enqueue(change *change) bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if len(partition.queue) >= partition.ledger.options.MaximumPending {
		return false
	}
	if change.attempt == "" {
		change.attempt = partition.runningAttempts[change.keyHash]
	}
	partition.queue = append(partition.queue, change)
	partition.wakeWriter()
	return true
}

// runningAttempt returns the attempt of a key that runs in this process.
func (partition *partition) runningAttempt(id keyHash) (string, bool) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	attempt, running := partition.runningAttempts[id]
	return attempt, running
}

// takeDecision returns the decision about a change. If the decision is to run but
// the caller's deadline has passed, the attempt is withdrawn.
func (partition *partition) takeDecision(ctx context.Context, change *change) (Decision, error) {
	if change.err != nil || change.decision.Verdict != Run || ctx.Err() == nil {
		return change.decision, change.err
	}
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.markOrphaned(change)
	return Decision{}, fault.Wrap("ledger.begin", NotRun, ctx.Err())
}

// markOrphaned ends an attempt that will not run, and has the writer remove its
// intent if that was sent. The lock is held.
func (partition *partition) markOrphaned(change *change) {
	partition.clearRunning(change)
	partition.forgetStarted(change)
	if change.expectedRevision == neverSent {
		return
	}
	partition.orphans[change.attempt] = change.expectedRevision
	partition.wakeWriter()
}

// wakeWriter wakes the writer, or starts it if it is not running. The lock is held.
func (partition *partition) wakeWriter() {
	if !partition.writerRunning {
		partition.writerRunning = true
		go partition.runWriter()
	}
	select {
	case partition.wake <- struct{}{}:
	default:
	}
}

// clearRunning removes an attempt from the running ones. The lock is held.
func (partition *partition) clearRunning(change *change) {
	delete(partition.runningUntil, change.attempt)
	if partition.runningAttempts[change.keyHash] == change.attempt {
		delete(partition.runningAttempts, change.keyHash)
	}
}

// recordStarted records that this process let an attempt run, unless
// maximumStartedAttempts are recorded that have not expired. The lock is held.
func (partition *partition) recordStarted(change *change, now time.Time) {
	if len(partition.startedAttempts) >= maximumStartedAttempts {
		maps.DeleteFunc(partition.startedAttempts, func(_ keyHash, started startedAttempt) bool {
			return now.After(started.until)
		})
	}
	if len(partition.startedAttempts) < maximumStartedAttempts {
		until := now.Add(partition.ledger.options.Retention)
		partition.startedAttempts[change.keyHash] = startedAttempt{attempt: change.attempt, until: until}
	}
}

// forgetStarted removes an attempt that did not run from the started ones. The
// lock is held.
func (partition *partition) forgetStarted(change *change) {
	if partition.startedAttempts[change.keyHash].attempt == change.attempt {
		delete(partition.startedAttempts, change.keyHash)
	}
}

// cancel ends a Begin whose deadline has passed. It reports NotRun only if nothing
// is known of an earlier call with the key, since that call may have run.
func (partition *partition) cancel(change *change) (Decision, error) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if change.completed && (change.err != nil || change.decision.Verdict != Run) {
		return change.decision, change.err
	}
	change.cancelled = true
	partition.markOrphaned(change)
	known := partition.recordSet != nil && partition.recordSet.records[change.keyHash] != nil
	if !known && time.Now().Before(partition.startedAttempts[change.keyHash].until) {
		return Decision{Verdict: Unknown}, nil
	}
	if partition.recordSet == nil {
		return Decision{}, fault.New("ledger.begin", NotRun,
			"the ledger was not reached; an earlier call with this key cannot be ruled out")
	}
	existing := partition.recordSet.records[change.keyHash]
	if existing == nil || existing.Attempt == change.attempt {
		return Decision{}, fault.New("ledger.begin", NotRun, "the ledger was not reached until the deadline")
	}
	result := change.apply(partition.recordSet.clone(), partition.runningUntil, partition.ledger.options.Retention)
	return result.decision, result.err
}

// runWriter processes the queue. It returns after the partition was idle for
// idleTimeout, and then frees the records.
func (partition *partition) runWriter() {
	for {
		if !partition.hasWork() {
			select {
			case <-partition.wake:
				continue
			case <-time.After(idleTimeout):
			case <-partition.ledger.ctx.Done():
			}
			if partition.stopIfIdle() {
				return
			}
			continue
		}
		pause := partition.processBatch()
		select {
		case <-time.After(pause):
		case <-partition.ledger.ctx.Done():
		}
	}
}

// hasWork reports whether there are changes or orphans to process. A closed ledger
// has no work.
func (partition *partition) hasWork() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if partition.ledger.ctx.Err() != nil {
		return false
	}
	return len(partition.queue) > 0 || len(partition.orphans) > 0
}

// stopIfIdle marks the writer as stopped unless new work was queued. A closed
// ledger keeps its records, because cancel uses them to answer callers that are
// still waiting.
func (partition *partition) stopIfIdle() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	closed := partition.ledger.ctx.Err() != nil
	if !closed && (len(partition.queue) > 0 || len(partition.orphans) > 0) {
		return false
	}
	partition.writerRunning = false
	if !closed && len(partition.runningUntil) == 0 {
		partition.recordSet, partition.current = nil, false
	}
	return true
}

// processBatch reads the records if necessary, applies the queued changes and
// writes the result. It returns the delay before the next batch, which is 0 if the
// service was not called.
func (partition *partition) processBatch() time.Duration {
	batch := partition.collectBatch()
	called := !partition.isCurrent()
	if called {
		if err := partition.load(batch); err != nil {
			return partition.backOff(err)
		}
	}
	plan := partition.plan(batch)
	if plan.needsReread {
		called = true
		if err := partition.load(batch); err != nil {
			return partition.backOff(err)
		}
		plan = partition.plan(batch)
	}
	if plan.modified {
		called = true
		if err := partition.write(plan); err != nil {
			return partition.backOff(err)
		}
	}
	partition.complete(plan)
	if !called {
		return 0
	}
	return partition.ledger.options.WriteInterval
}

// collectBatch drops cancelled changes and those older than the retention from the
// queue, and returns a copy of the rest.
func (partition *partition) collectBatch() []*change {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	oldest := time.Now().Add(-partition.ledger.options.Retention)
	partition.queue = slices.DeleteFunc(partition.queue, func(change *change) bool {
		return change.cancelled || change.queuedAt.Before(oldest)
	})
	return slices.Clone(partition.queue)
}

// isCurrent reports whether changes may be applied without reading the records.
func (partition *partition) isCurrent() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.current
}

// load reads the records from the service.
func (partition *partition) load(batch []*change) error {
	ctx, cancel := context.WithTimeout(partition.ledger.ctx, storeCallTimeout)
	defer cancel()
	entry, err := partition.ledger.options.Store.Get(ctx, partition.key)
	if err != nil && !fault.Is(err, store.Absent) {
		return err
	}
	recordSet, err := decode(entry)
	if err != nil {
		return fault.Wrap("ledger.load", NotRun, err)
	}
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.recordSet, partition.current = recordSet, true
	for _, change := range batch {
		change.readSinceQueued = true
	}
	return nil
}

// plan holds the results of a batch and the records to write.
type plan struct {
	recordSet   *recordSet
	batch       []*change
	results     []result
	orphans     []string
	modified    bool
	needsReread bool
}

// plan applies a batch to a copy of the records.
func (partition *partition) plan(batch []*change) plan {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	retention := partition.ledger.options.Retention
	working := partition.recordSet.clone()
	working.prune(time.Now(), retention)
	runningUntil := maps.Clone(partition.runningUntil)
	plan := plan{recordSet: working, orphans: slices.Collect(maps.Keys(partition.orphans))}
	plan.modified = partition.removeOrphans(working)
	for _, change := range batch {
		if change.cancelled {
			continue
		}
		result := change.apply(working, runningUntil, retention)
		if result.decision.Verdict == Run {
			runningUntil[change.attempt] = time.Now().Add(partition.ledger.options.InProgressTimeout)
		}
		plan.modified = plan.modified || result.modified
		plan.needsReread = plan.needsReread || (result.needsReread && !change.readSinceQueued)
		plan.batch = append(plan.batch, change)
		plan.results = append(plan.results, result)
	}
	if working.encodedBytes > intentLimitBytes {
		working.trim()
	}
	return plan
}

// removeOrphans removes the records of orphaned attempts and reports whether the
// records must be written. They must also be written if an earlier write with such
// a record may still take effect: the new revision makes that write fail. The lock
// is held.
func (partition *partition) removeOrphans(working *recordSet) bool {
	if len(partition.orphans) == 0 {
		return false
	}
	modified := false
	for _, sent := range partition.orphans {
		modified = modified || working.revision <= sent
	}
	for id, record := range working.records {
		if _, orphaned := partition.orphans[record.Attempt]; orphaned && record.Outcome == nil {
			working.remove(id)
			modified = true
		}
	}
	return modified
}

// recordSentRevision stores the expected revision of a write in the changes whose
// intents it contains. The lock is held.
func (partition *partition) recordSentRevision(plan plan) {
	for index, change := range plan.batch {
		if plan.results[index].decision.Verdict != Run {
			continue
		}
		change.expectedRevision = plan.recordSet.revision
		if change.cancelled {
			partition.orphans[change.attempt] = change.expectedRevision
		}
	}
}

// write writes the records of a plan by compare-and-swap.
func (partition *partition) write(plan plan) error {
	encoded, err := plan.recordSet.encode()
	if err != nil {
		return fault.Wrap("ledger.write", NotRun, err)
	}
	ctx, cancel := context.WithTimeout(partition.ledger.ctx, storeCallTimeout)
	defer cancel()
	partition.mutex.Lock()
	partition.recordSentRevision(plan)
	partition.mutex.Unlock()
	swap := store.Swap{Key: partition.key, Expect: plan.recordSet.revision, Value: encoded}
	revision, err := partition.ledger.options.Store.Swap(ctx, swap)
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if err != nil {
		// A conflict and a lost reply both require a new read.
		partition.current = partition.current && fault.Is(err, store.Unavailable)
		return err
	}
	plan.recordSet.revision = revision
	partition.recordSet = plan.recordSet
	partition.log(event.LedgerWritten(), logrus.Fields{
		"revision": revision, "changes": len(plan.batch), "records": len(plan.recordSet.records), "bytes": len(encoded),
	})
	return nil
}

// complete delivers the results of a plan that was written or needed no write.
func (partition *partition) complete(plan plan) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.consecutiveFailures = 0
	for _, attempt := range plan.orphans {
		delete(partition.orphans, attempt)
	}
	now := time.Now()
	for index, change := range plan.batch {
		if change.cancelled {
			continue
		}
		result := plan.results[index]
		change.completed, change.decision, change.err = true, result.decision, result.err
		switch {
		case result.decision.Verdict == Run:
			partition.runningUntil[change.attempt] = now.Add(partition.ledger.options.InProgressTimeout)
			partition.runningAttempts[change.keyHash] = change.attempt
			partition.recordStarted(change, now)
		case change.action == abandon:
			partition.clearRunning(change)
			partition.forgetStarted(change)
		case change.action == finish:
			partition.clearRunning(change)
		}
		if fault.Is(result.err, Full) {
			partition.log(event.LedgerFull(), logrus.Fields{"bytes": plan.recordSet.encodedBytes})
		}
		close(change.done)
	}
	partition.queue = slices.DeleteFunc(partition.queue, func(change *change) bool { return change.completed })
	partition.expireRunning(now)
}

// expireRunning removes attempts that exceeded InProgressTimeout from the running
// ones. The lock is held.
func (partition *partition) expireRunning(now time.Time) {
	for id, attempt := range partition.runningAttempts {
		if now.After(partition.runningUntil[attempt]) {
			delete(partition.runningUntil, attempt)
			delete(partition.runningAttempts, id)
		}
	}
}

// backOff logs a failure and returns the delay before the next batch. The delay
// grows with consecutive failures of the service, but not with conflicts.
func (partition *partition) backOff(err error) time.Duration {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	interval := partition.ledger.options.WriteInterval
	failure := event.LedgerUnavailable()
	switch {
	case fault.Is(err, store.Conflict):
		partition.log(event.LedgerConflict(), nil)
		return partition.ledger.jitter(2 * interval)
	case fault.Is(err, store.Uncertain):
		failure = event.LedgerUncertain()
	case fault.Is(err, NotRun):
		failure = event.LedgerFaulty()
	}
	partition.log(failure, logrus.Fields{"error": err.Error()})
	span := min(interval<<min(partition.consecutiveFailures, 8), max(maximumBackoff, interval))
	partition.consecutiveFailures++
	return partition.ledger.jitter(max(span, interval))
}

// log writes an event with the name of this partition.
func (partition *partition) log(event event.Event, fields logrus.Fields) {
	merged := logrus.Fields{"partition": partition.key}
	maps.Copy(merged, fields)
	partition.ledger.options.Logger.Log(event, merged)
}
