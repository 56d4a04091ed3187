package ledger

import (
	"time"

	"primrosegw/core/fault"
)

// action is the sort of a change.
type action int

const (
	begin action = iota
	finish
	abandon
)

// neverSent marks an intent that no write to the service contained.
const neverSent = -1

// change is one call that waits for its partition's writer.
type change struct {
	action  action
	id      identity
	body    [16]byte
	attempt string
	outcome *Outcome
	added   time.Time
	// sent is the revision that the last write with the intent expected, or
	// neverSent. It is guarded by the partition's lock.
	sent int64
	// read says that the partition was read after the change was added.
	read bool
	// settled and cancelled are guarded by the partition's lock; at most one of
	// them is set.
	settled   bool
	cancelled bool
	// decision and err are set before done is closed.
	decision Decision
	err      error
	done     chan struct{}
}

func newChange(action action, key Key) *change {
	return &change{
		action: action, id: identify(key), body: [16]byte(key.BodyHash[:16]), attempt: key.Attempt,
		added: time.Now(), sent: neverSent, done: make(chan struct{}),
	}
}

// ruling is the decision about a change against a working copy of the book. It holds once
// the copy is written, or at once if nothing in the copy was changed.
type ruling struct {
	decision Decision
	err      error
	// altered says that the working copy was changed.
	altered bool
	// reread says that the ruling must not rest on a book that was read before
	// the change was added.
	reread bool
}

// rule applies a change to a working copy. The running attempts are those of
// this process, including those of earlier changes of the same batch.
func (change *change) rule(book *book, running map[string]time.Time, retention time.Duration) ruling {
	held := book.records[change.id]
	switch change.action {
	case finish:
		return change.ruleFinish(book, held)
	case abandon:
		return change.ruleAbandon(book, held)
	}
	return change.ruleBegin(book, held, running, retention)
}

// ruleBegin decides whether a call may run. An intent with the change's own
// token was written by it: its reply was lost.
func (change *change) ruleBegin(book *book, held *record, running map[string]time.Time, retention time.Duration) ruling {
	if held != nil && held.Attempt == change.attempt {
		return ruling{decision: change.run(held, retention)}
	}
	if held != nil && held.BodyHash != change.body {
		err := fault.Field("ledger.begin", Mismatch, "body", "the idempotency key was used with another body")
		return ruling{err: err, reread: true}
	}
	if held != nil && held.Outcome != nil {
		return ruling{decision: Decision{Verdict: Recorded, Outcome: *held.Outcome}}
	}
	if held != nil && time.Now().Before(running[held.Attempt]) {
		return ruling{decision: Decision{Verdict: InProgress}, reread: true}
	}
	if held != nil {
		return ruling{decision: Decision{Verdict: Unknown}, reread: true}
	}
	if book.full() {
		return ruling{err: fault.New("ledger.begin", Full, "the ledger partition is full"), reread: true}
	}
	intent := &record{ID: change.id, BodyHash: change.body, Attempt: change.attempt, Begun: time.Now().UnixMilli()}
	book.put(intent)
	return ruling{decision: change.run(intent, retention), altered: true}
}

// run returns the decision to run.
func (change *change) run(intent *record, retention time.Duration) Decision {
	return Decision{Verdict: Run, Attempt: change.attempt, Until: time.UnixMilli(intent.Begun).Add(retention)}
}

// ruleFinish records an outcome. The first outcome stays. An outcome without an
// intent is recorded as well: the call ran.
func (change *change) ruleFinish(book *book, held *record) ruling {
	if held != nil && held.Outcome != nil {
		return ruling{}
	}
	finished := record{ID: change.id, BodyHash: change.body, Attempt: change.attempt, Begun: time.Now().UnixMilli()}
	if held != nil {
		finished = *held
	}
	finished.Outcome = change.outcome
	book.put(&finished)
	return ruling{altered: true}
}

// ruleAbandon removes the intent of the change's own attempt only: after a lost
// reply the key may already be in use by another call.
func (change *change) ruleAbandon(book *book, held *record) ruling {
	if held == nil || held.Attempt != change.attempt || held.Outcome != nil {
		return ruling{reread: true}
	}
	book.remove(change.id)
	return ruling{altered: true}
}
