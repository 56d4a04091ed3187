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

// partition is one entry of the service with the changes that wait for it. One
// goroutine, the writer, works while there are changes.
//
// The writer takes all waiting changes, rules on them against a copy of the
// last known book, and writes the copy by compare-and-swap on the revision it
// was read at. A conflict means that another host wrote: the book is read again
// and all changes are ruled on anew. A write whose reply is lost is settled in
// the same way: a change finds its own token in the book if it was written. A
// lost write that takes effect later still fails the next swap, because both
// expect the same revision.
type partition struct {
	ledger *Ledger
	key    string
	wake   chan struct{}

	mutex   sync.Mutex
	waiting []*change
	working bool
	// book is the last known book, nil if none was read.
	book *book
	// current says that the book is the newest that this host has seen.
	current bool
	// running holds the attempts that run in this process, with the time until
	// which they count as in progress.
	running map[string]time.Time
	// owners holds the running attempt by identity.
	owners map[identity]string
	// strays are attempts whose caller was told that they do not run, while
	// their intent was sent. The value is the revision that the last write with
	// the intent expected: once the book is past it, the intent is in the book
	// or will never be. Records of strays are removed.
	strays map[string]int64
	// begun remembers the attempts that this process let run, also when the book
	// is freed: a call that comes back in an outage is not told "not run".
	begun map[identity]memory
	// failures counts failures of the service in a row.
	failures int
}

// memory is what is left of an attempt without its record.
type memory struct {
	attempt string
	until   time.Time
}

func newPartition(ledger *Ledger, number int) *partition {
	return &partition{
		ledger: ledger, key: fmt.Sprintf("primrosegw/%s/ledger/%d", ledger.options.Environment, number),
		wake: make(chan struct{}, 1), running: map[string]time.Time{}, owners: map[identity]string{},
		strays: map[string]int64{}, begun: map[identity]memory{},
	}
}

// add queues a change and starts the writer. It reports false when too many
// changes wait.
func (partition *partition) add(change *change) bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if len(partition.waiting) >= partition.ledger.options.Pending {
		return false
	}
	if change.attempt == "" {
		change.attempt = partition.owners[change.id]
	}
	partition.waiting = append(partition.waiting, change)
	partition.start()
	return true
}

// attempt returns the attempt with an identity that runs in this process.
func (partition *partition) attempt(id identity) (string, bool) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	attempt, running := partition.owners[id]
	return attempt, running
}

// claim takes the decision about a change. A decision to run that comes after
// the caller's deadline is given back.
func (partition *partition) claim(ctx context.Context, change *change) (Decision, error) {
	if change.err != nil || change.decision.Verdict != Run || ctx.Err() == nil {
		return change.decision, change.err
	}
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.stray(change)
	return Decision{}, fault.Wrap("ledger.begin", NotRun, ctx.Err())
}

// stray marks an attempt that must not stay recorded, if its intent was sent.
// The lock is held.
func (partition *partition) stray(change *change) {
	partition.leave(change)
	partition.forget(change)
	if change.sent == neverSent {
		return
	}
	partition.strays[change.attempt] = change.sent
	partition.start()
}

// start wakes the writer, or starts it. The lock is held.
func (partition *partition) start() {
	if !partition.working {
		partition.working = true
		go partition.work()
	}
	select {
	case partition.wake <- struct{}{}:
	default:
	}
}

// leave ends the running state of an attempt. The lock is held.
func (partition *partition) leave(change *change) {
	delete(partition.running, change.attempt)
	if partition.owners[change.id] == change.attempt {
		delete(partition.owners, change.id)
	}
}

// remember notes that an attempt may run. The lock is held.
func (partition *partition) remember(change *change, now time.Time) {
	if len(partition.begun) >= rememberLimit {
		maps.DeleteFunc(partition.begun, func(_ identity, held memory) bool { return now.After(held.until) })
	}
	if len(partition.begun) < rememberLimit {
		until := now.Add(partition.ledger.options.Retention)
		partition.begun[change.id] = memory{attempt: change.attempt, until: until}
	}
}

// forget ends the memory of an attempt that did not run. The lock is held.
func (partition *partition) forget(change *change) {
	if partition.begun[change.id].attempt == change.attempt {
		delete(partition.begun, change.id)
	}
}

// cancel ends the wait of a Begin whose deadline passed. What is known of an
// earlier call is reported before "not run" is: the earlier call may have run.
func (partition *partition) cancel(change *change) (Decision, error) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if change.settled && (change.err != nil || change.decision.Verdict != Run) {
		return change.decision, change.err
	}
	change.cancelled = true
	partition.stray(change)
	known := partition.book != nil && partition.book.records[change.id] != nil
	if !known && time.Now().Before(partition.begun[change.id].until) {
		return Decision{Verdict: Unknown}, nil
	}
	if partition.book == nil {
		return Decision{}, fault.New("ledger.begin", NotRun,
			"the ledger was not reached; an earlier call with this key cannot be ruled out")
	}
	held := partition.book.records[change.id]
	if held == nil || held.Attempt == change.attempt {
		return Decision{}, fault.New("ledger.begin", NotRun, "the ledger was not reached until the deadline")
	}
	ruling := change.rule(partition.book.clone(), partition.running, partition.ledger.options.Retention)
	return ruling.decision, ruling.err
}

// work is the writer. It ends when the partition was idle for a while, and then
// frees the book.
func (partition *partition) work() {
	for {
		if !partition.busy() {
			select {
			case <-partition.wake:
				continue
			case <-time.After(idleTime):
			case <-partition.ledger.ctx.Done():
			}
			if partition.rest() {
				return
			}
			continue
		}
		pause := partition.round()
		select {
		case <-time.After(pause):
		case <-partition.ledger.ctx.Done():
		}
	}
}

// busy reports whether there is work for the writer.
func (partition *partition) busy() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if partition.ledger.ctx.Err() != nil {
		return false
	}
	return len(partition.waiting) > 0 || len(partition.strays) > 0
}

// rest ends the writer unless work has come in. A closed ledger keeps the book,
// since callers that still wait are told what it says.
func (partition *partition) rest() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	closed := partition.ledger.ctx.Err() != nil
	if !closed && (len(partition.waiting) > 0 || len(partition.strays) > 0) {
		return false
	}
	partition.working = false
	if !closed && len(partition.running) == 0 {
		partition.book, partition.current = nil, false
	}
	return true
}

// round settles what can be settled by at most one read and one write, and
// returns the pause before the next round: none if the service was not called.
func (partition *partition) round() time.Duration {
	batch := partition.take()
	called := !partition.known()
	if called {
		if err := partition.load(batch); err != nil {
			return partition.backOff(err)
		}
	}
	plan := partition.plan(batch)
	if plan.reread {
		called = true
		if err := partition.load(batch); err != nil {
			return partition.backOff(err)
		}
		plan = partition.plan(batch)
	}
	if plan.altered {
		called = true
		if err := partition.write(plan); err != nil {
			return partition.backOff(err)
		}
	}
	partition.settle(plan)
	if !called {
		return 0
	}
	return partition.ledger.options.Interval
}

// take returns the waiting changes without those that were cancelled or are too
// old to matter.
func (partition *partition) take() []*change {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	oldest := time.Now().Add(-partition.ledger.options.Retention)
	partition.waiting = slices.DeleteFunc(partition.waiting, func(change *change) bool {
		return change.cancelled || change.added.Before(oldest)
	})
	return slices.Clone(partition.waiting)
}

// known reports whether the book may be ruled on without reading it.
func (partition *partition) known() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.current
}

// load reads the book.
func (partition *partition) load(batch []*change) error {
	ctx, cancel := context.WithTimeout(partition.ledger.ctx, serviceTimeout)
	defer cancel()
	entry, err := partition.ledger.options.Store.Get(ctx, partition.key)
	if err != nil && !fault.Is(err, store.Absent) {
		return err
	}
	book, err := decode(entry)
	if err != nil {
		return fault.Wrap("ledger.load", NotRun, err)
	}
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.book, partition.current = book, true
	for _, change := range batch {
		change.read = true
	}
	return nil
}

// plan holds the rulings on a batch and the book to write.
type plan struct {
	book    *book
	batch   []*change
	rulings []ruling
	strays  []string
	altered bool
	reread  bool
}

// plan rules on a batch against a copy of the book.
func (partition *partition) plan(batch []*change) plan {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	retention := partition.ledger.options.Retention
	working := partition.book.clone()
	working.prune(time.Now(), retention)
	running := maps.Clone(partition.running)
	plan := plan{book: working, strays: slices.Collect(maps.Keys(partition.strays))}
	plan.altered = partition.removeStrays(working)
	for _, change := range batch {
		if change.cancelled {
			continue
		}
		ruling := change.rule(working, running, retention)
		if ruling.decision.Verdict == Run {
			running[change.attempt] = time.Now().Add(partition.ledger.options.Running)
		}
		plan.altered = plan.altered || ruling.altered
		plan.reread = plan.reread || (ruling.reread && !change.read)
		plan.batch = append(plan.batch, change)
		plan.rulings = append(plan.rulings, ruling)
	}
	if working.bytes > fillBytes {
		working.trim()
	}
	return plan
}

// removeStrays removes the records of attempts that do not run, and reports
// whether the book must be written: also when a write with such a record may
// still take effect, which the new revision prevents. The lock is held.
func (partition *partition) removeStrays(working *book) bool {
	if len(partition.strays) == 0 {
		return false
	}
	altered := false
	for _, sent := range partition.strays {
		altered = altered || working.revision <= sent
	}
	for id, record := range working.records {
		if _, stray := partition.strays[record.Attempt]; stray && record.Outcome == nil {
			working.remove(id)
			altered = true
		}
	}
	return altered
}

// send notes the revision that a write with the intents of a plan expects. The
// lock is held.
func (partition *partition) send(plan plan) {
	for index, change := range plan.batch {
		if plan.rulings[index].decision.Verdict != Run {
			continue
		}
		change.sent = plan.book.revision
		if change.cancelled {
			partition.strays[change.attempt] = change.sent
		}
	}
}

// write swaps the book of a plan in.
func (partition *partition) write(plan plan) error {
	encoded, err := plan.book.encode()
	if err != nil {
		return fault.Wrap("ledger.write", NotRun, err)
	}
	ctx, cancel := context.WithTimeout(partition.ledger.ctx, serviceTimeout)
	defer cancel()
	partition.mutex.Lock()
	partition.send(plan)
	partition.mutex.Unlock()
	swap := store.Swap{Key: partition.key, Expect: plan.book.revision, Value: encoded}
	revision, err := partition.ledger.options.Store.Swap(ctx, swap)
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if err != nil {
		// After a conflict and after a lost reply alike, the book is read again.
		partition.current = partition.current && fault.Is(err, store.Unavailable)
		return err
	}
	plan.book.revision = revision
	partition.book = plan.book
	partition.log(event.LedgerWritten(), logrus.Fields{
		"revision": revision, "changes": len(plan.batch), "records": len(plan.book.records), "bytes": len(encoded),
	})
	return nil
}

// settle hands out the decisions of a plan that is in force.
func (partition *partition) settle(plan plan) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.failures = 0
	for _, attempt := range plan.strays {
		delete(partition.strays, attempt)
	}
	now := time.Now()
	for index, change := range plan.batch {
		if change.cancelled {
			continue
		}
		ruling := plan.rulings[index]
		change.settled, change.decision, change.err = true, ruling.decision, ruling.err
		switch {
		case ruling.decision.Verdict == Run:
			partition.running[change.attempt] = now.Add(partition.ledger.options.Running)
			partition.owners[change.id] = change.attempt
			partition.remember(change, now)
		case change.action == abandon:
			partition.leave(change)
			partition.forget(change)
		case change.action == finish:
			partition.leave(change)
		}
		if fault.Is(ruling.err, Full) {
			partition.log(event.LedgerFull(), logrus.Fields{"bytes": plan.book.bytes})
		}
		close(change.done)
	}
	partition.waiting = slices.DeleteFunc(partition.waiting, func(change *change) bool { return change.settled })
	partition.expire(now)
}

// expire forgets attempts that run for too long. The lock is held.
func (partition *partition) expire(now time.Time) {
	for id, attempt := range partition.owners {
		if now.After(partition.running[attempt]) {
			delete(partition.running, attempt)
			delete(partition.owners, id)
		}
	}
}

// backOff records a failure and returns the pause before the next round.
func (partition *partition) backOff(err error) time.Duration {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	interval := partition.ledger.options.Interval
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
	span := min(interval<<min(partition.failures, 8), max(maximumBackoff, interval))
	partition.failures++
	return partition.ledger.jitter(max(span, interval))
}

// log writes an event of this partition.
func (partition *partition) log(event event.Event, fields logrus.Fields) {
	merged := logrus.Fields{"partition": partition.key}
	maps.Copy(merged, fields)
	partition.ledger.options.Logger.Log(event, merged)
}
