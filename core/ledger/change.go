package ledger

import (
	"time"

	"primrosegw/core/fault"
)

// action is the operation that a change performs.
type action int

const (
	begin action = iota
	finish
	abandon
)

// neverSent is the expectedRevision of an intent that was in no write yet.
const neverSent = -1

// change is a Begin, Finish or Abandon that is queued for its partition's writer.
type change struct {
	action   action
	keyHash  keyHash
	bodyHash [16]byte
	attempt  string
	outcome  *Outcome
	queuedAt time.Time
	// expectedRevision is the revision that the last write with the intent
	// expected, or neverSent. It is guarded by the partition's lock.
	expectedRevision int64
	// readSinceQueued says that the partition was read after the change was queued.
	readSinceQueued bool
	// completed and cancelled are guarded by the partition's lock; at most one of
	// them is set.
	completed bool
	cancelled bool
	// decision and err are set before done is closed.
	decision Decision
	err      error
	done     chan struct{}
}

func newChange(action action, key Key) *change {
	return &change{
		action: action, keyHash: hashKey(key), bodyHash: [16]byte(key.BodyHash[:16]), attempt: key.Attempt,
		queuedAt: time.Now(), expectedRevision: neverSent, done: make(chan struct{}),
	}
}

// result is the result of applying a change to a working copy of the records. It
// takes effect when the copy is written, or immediately if the copy was not
// modified.
type result struct {
	decision Decision
	err      error
	// modified says that the change modified the working copy.
	modified bool
	// needsReread says that the result is valid only against records that were
	// read after the change was queued.
	needsReread bool
}

// apply applies a change to a working copy. The running attempts are those of
// this process, including those of earlier changes in the same batch.
func (change *change) apply(recordSet *recordSet, runningUntil map[string]time.Time, retention time.Duration) result {
	existing := recordSet.records[change.keyHash]
	switch change.action {
	case finish:
		return change.applyFinish(recordSet, existing)
	case abandon:
		return change.applyAbandon(recordSet, existing)
	}
	return change.applyBegin(recordSet, existing, runningUntil, retention)
}

// applyBegin decides whether a call may run. An intent with the change's own
// token means that an earlier write of it succeeded but the reply was lost.
func (change *change) applyBegin(recordSet *recordSet, existing *record,
	runningUntil map[string]time.Time, retention time.Duration,
) result {
	if existing != nil && existing.Attempt == change.attempt {
		return result{decision: change.runDecision(existing, retention)}
	}
	if existing != nil && existing.BodyHash != change.bodyHash {
		err := fault.Field("ledger.begin", Mismatch, "body", "the idempotency key was used with another body")
		return result{err: err, needsReread: true}
	}
	if existing != nil && existing.Outcome != nil {
		return result{decision: Decision{Verdict: Recorded, Outcome: *existing.Outcome}}
	}
	if existing != nil && time.Now().Before(runningUntil[existing.Attempt]) {
		return result{decision: Decision{Verdict: InProgress}, needsReread: true}
	}
	if existing != nil {
		return result{decision: Decision{Verdict: Unknown}, needsReread: true}
	}
	if recordSet.full() {
		return result{err: fault.New("ledger.begin", Full, "the ledger partition is full"), needsReread: true}
	}
	intent := &record{
		ID: change.keyHash, BodyHash: change.bodyHash, Attempt: change.attempt,
		Begun: time.Now().UnixMilli(),
	}
	recordSet.put(intent)
	return result{decision: change.runDecision(intent, retention), modified: true}
}

// runDecision returns the decision that lets the call run.
func (change *change) runDecision(intent *record, retention time.Duration) Decision {
	return Decision{Verdict: Run, Attempt: change.attempt, DispatchUntil: time.UnixMilli(intent.Begun).Add(retention)}
}

// applyFinish records an outcome. It never replaces an earlier outcome. An outcome
// without an intent is recorded as well, since the call did run.
func (change *change) applyFinish(recordSet *recordSet, existing *record) result {
	if existing != nil && existing.Outcome != nil {
		return result{}
	}
	finished := record{
		ID: change.keyHash, BodyHash: change.bodyHash, Attempt: change.attempt,
		Begun: time.Now().UnixMilli(),
	}
	if existing != nil {
		finished = *existing
	}
	finished.Outcome = change.outcome
	recordSet.put(&finished)
	return result{modified: true}
}

// applyAbandon removes the intent of the change's own attempt only: if the reply
// of an earlier write was lost, another call may already use the key.
func (change *change) applyAbandon(recordSet *recordSet, existing *record) result {
	if existing == nil || existing.Attempt != change.attempt || existing.Outcome != nil {
		return result{needsReread: true}
	}
	recordSet.remove(change.keyHash)
	return result{modified: true}
}
