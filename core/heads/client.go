package heads

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/store"
)

const (
	// maximumAttempts limits the attempts to write one change when each is
	// overtaken by a concurrent write that doesn't conflict with the change, such
	// as a verdict during a recall.
	maximumAttempts = 8
	// initialBackoff is the delay before the first retry after a lost reply; it
	// doubles up to maximumBackoff.
	initialBackoff = 50 * time.Millisecond
	maximumBackoff = 2 * time.Second
)

// Settlement is the outcome of a write whose reply was lost, as found by reading
// the value back.
type Settlement string

// The settlements. None means that no reply was lost, Unknown that the outcome
// could not be determined.
const (
	None       Settlement = ""
	Written    Settlement = "written"
	NotWritten Settlement = "not_written"
	Unknown    Settlement = "unknown"
)

// Result is the outcome of a change.
type Result struct {
	// Heads is the state after the change, or the state because of which it was
	// rejected.
	Heads Heads
	// Settlement is None unless a reply was lost.
	Settlement Settlement
	// Token identifies the write.
	Token string
	// ConflictingChange is the concurrent change that was written first. It is set
	// if the error is a Conflict.
	ConflictingChange Change
}

// Options are the dependencies of a Client.
type Options struct {
	Store       store.Store
	Environment string
	// Host is the prefix of the tokens of this client's writes.
	Host string
	// Random generates tokens. It needs a different seed in each process.
	Random *rand.Rand
	// Log receives events. If it is nil, events are discarded.
	Log *event.Logger
}

// Client changes the heads of one environment on behalf of operators. It keeps
// no state between calls and is safe for concurrent use.
type Client struct {
	options Options
	// mutex guards options.Random.
	mutex sync.Mutex
}

// New returns a client. It fails with Invalid if a required option is missing.
func New(options Options) (*Client, error) {
	const op = "heads.new"
	switch {
	case options.Store == nil:
		return nil, fault.Field(op, Invalid, "store", "is missing")
	case options.Environment == "":
		return nil, fault.Field(op, Invalid, "environment", "is empty")
	case options.Random == nil:
		return nil, fault.Field(op, Invalid, "random", "is missing")
	}
	if options.Log == nil {
		options.Log = event.Discard()
	}
	return &Client{options: options}, nil
}

// Key returns the key of an environment's heads.
func Key(environment string) string { return "primrosegw/" + environment + "/heads" }

// DocumentKey returns the key of a document.
func DocumentKey(environment, digest string) string {
	return "primrosegw/" + environment + "/documents/" + digest
}

// Status returns the heads and the store revision of their key. If the key does
// not exist, the heads are empty and the revision is 0. It fails with Unavailable
// or Invalid.
func (client *Client) Status(ctx context.Context) (Heads, int64, error) {
	entry, err := client.options.Store.Get(ctx, Key(client.options.Environment))
	if fault.Is(err, store.Absent) {
		return Heads{Environment: client.options.Environment}, 0, nil
	}
	if err != nil {
		return Heads{}, 0, fault.Wrap("heads.status", Unavailable, err)
	}
	heads, err := Parse(entry.Value)
	return heads, entry.Revision, err
}

// Document returns a stored document. It fails with Absent, Unavailable, or
// Invalid if the data does not match the digest.
func (client *Client) Document(ctx context.Context, digest string) ([]byte, error) {
	const op = "heads.document"
	entry, err := client.options.Store.Get(ctx, DocumentKey(client.options.Environment, digest))
	switch {
	case fault.Is(err, store.Absent):
		return nil, fault.Field(op, Absent, "digest", "no document "+shortDigest(digest)+" is stored")
	case err != nil:
		return nil, fault.Wrap(op, Unavailable, err)
	case Digest(entry.Value) != digest:
		return nil, fault.Field(op, Invalid, "digest", "the stored document does not match "+shortDigest(digest))
	}
	return entry.Value, nil
}

// Trial stores a document under its digest and makes it the trial head. Of two
// concurrent trials, the one that is written second fails with Conflict.
func (client *Client) Trial(ctx context.Context, document Document, operator, reason string) (Result, error) {
	const op = "heads.trial"
	if Digest(document.Data) != document.Digest {
		return Result{}, fault.Field(op, Invalid, "digest", "does not match the document")
	}
	if err := client.storeDocument(ctx, document); err != nil {
		return Result{}, err
	}
	return client.update(ctx, operation{
		op: op, operator: operator, reason: reason, event: event.HeadsTried(), trial: true,
		apply: func(heads Heads, change Change) (Heads, error) { return heads.StartTrial(document, change) },
	})
}

// Verdict records the verdict of the current trial.
func (client *Client) Verdict(ctx context.Context, verdict Verdict, operator, reason string) (Result, error) {
	return client.update(ctx, operation{
		op: "heads.verdict", operator: operator, reason: reason, event: event.HeadsJudged(), trial: true,
		apply: func(heads Heads, change Change) (Heads, error) { return heads.RecordVerdict(verdict, change) },
	})
}

// Promote moves the trial document to production. It requires a passing verdict.
func (client *Client) Promote(ctx context.Context, digest, operator, reason string) (Result, error) {
	return client.update(ctx, operation{
		op: "heads.promote", operator: operator, reason: reason, event: event.HeadsPromoted(),
		apply: func(heads Heads, change Change) (Heads, error) { return heads.Promote(digest, change) },
	})
}

// Recall withdraws all documents, model versions and adapters of a lot.
func (client *Client) Recall(ctx context.Context, lot, operator, reason string) (Result, error) {
	return client.update(ctx, operation{
		op: "heads.recall", operator: operator, reason: reason, event: event.HeadsRecalled(),
		apply: func(heads Heads, change Change) (Heads, error) { return heads.Recall(lot, change) },
	})
}

// operation is a change requested by an operator.
type operation struct {
	op, operator, reason string
	event                event.Event
	// trial is set if the operation depends on the trial head; otherwise it
	// depends on the generation.
	trial bool
	apply func(Heads, Change) (Heads, error)
}

// baseVersion returns the version of the state that the operator's decision
// depends on: the sequence of the trial or the generation. A concurrent write
// conflicts with the operation only if it changes this version.
func (operation operation) baseVersion(heads Heads) uint64 {
	switch {
	case !operation.trial:
		return heads.Generation
	case heads.Trial == nil:
		return 0
	default:
		return heads.Trial.Sequence
	}
}

// conflictsWith reports whether a change alters the base version.
func (operation operation) conflictsWith(change Change) bool {
	return change.Action == ActionPromote || change.Action == ActionRecall || (operation.trial && change.Action == ActionTrial)
}

// update applies an operation in a read-modify-write loop. It retries after a
// concurrent write, unless that write changed the base version of the operation,
// which is a Conflict.
func (client *Client) update(ctx context.Context, operation operation) (Result, error) {
	if operation.operator == "" || len(operation.operator) > maximumNameBytes {
		return Result{}, fault.Field(operation.op, Invalid, "operator", "is empty or longer than 64 bytes")
	}
	var baseVersion uint64
	settlement := None
	for attempt := range maximumAttempts {
		heads, revision, err := client.Status(ctx)
		if err != nil {
			return client.reject(operation, Result{Settlement: settlement}, err)
		}
		if attempt == 0 {
			baseVersion = operation.baseVersion(heads)
		} else if operation.baseVersion(heads) != baseVersion {
			return client.rejectConflict(operation, heads, settlement)
		}
		next, err := operation.apply(heads, client.newChange(operation))
		if err != nil {
			return client.reject(operation, Result{Heads: heads, Settlement: settlement}, err)
		}
		result, err := client.compareAndSwap(ctx, next, revision)
		if err == nil {
			client.logChange(operation.event, result)
			return result, nil
		}
		if !fault.Is(err, Conflict) {
			return client.reject(operation, result, err)
		}
		settlement = result.Settlement
	}
	return client.reject(operation, Result{Settlement: settlement},
		fault.New(operation.op, Unavailable, "8 attempts failed because of concurrent writes; nothing was written"))
}

// newChange returns the change of an operation, with a new token.
func (client *Client) newChange(operation operation) Change {
	now := time.Now().UTC()
	client.mutex.Lock()
	number := client.options.Random.Uint64()
	client.mutex.Unlock()
	token := fmt.Sprintf("%s-%x-%016x", client.options.Host, now.UnixNano(), number)
	return Change{Operator: operation.operator, Reason: operation.reason, At: now, Token: token}
}

// compareAndSwap writes the heads if the key is still at the given revision. If
// the reply is lost, it determines the outcome with settle. It fails with
// Conflict after a concurrent write, Unavailable, Unsettled or Invalid.
func (client *Client) compareAndSwap(ctx context.Context, next Heads, revision int64) (Result, error) {
	const op = "heads.swap"
	result := Result{Heads: next, Token: next.LastChange().Token}
	value, err := next.Encode()
	if err != nil {
		return result, err
	}
	write := store.Swap{Key: Key(next.Environment), Expect: revision, Value: value}
	_, err = client.options.Store.Swap(ctx, write)
	switch {
	case err == nil:
		return result, nil
	case fault.Is(err, store.Conflict):
		return result, fault.Wrap(op, Conflict, err)
	case fault.Is(err, store.Unavailable):
		return result, fault.Wrap(op, Unavailable, err)
	case fault.Is(err, store.Refused):
		return result, fault.Wrap(op, Invalid, err)
	}
	result.Settlement, err = client.settle(ctx, write, next.LastChange())
	client.options.Log.Log(event.HeadsSettled(), logrus.Fields{
		"settlement": result.Settlement, "token": result.Token, "sequence": next.Sequence,
	})
	return result, err
}

// settle determines the outcome of a write whose reply was lost.
//
// If the stored history contains the token of the write, the write took effect.
// If the key has a newer revision without the token, the write failed and cannot
// take effect later, because the revision it expects is no longer current. If
// the key is still at the expected revision, the write may still be in flight.
// The same write is then sent again: at most one copy can match the expected
// revision, and both carry the same token.
func (client *Client) settle(ctx context.Context, write store.Swap, change Change) (Settlement, error) {
	const op = "heads.settle"
	for backoff := initialBackoff; ; backoff = min(2*backoff, maximumBackoff) {
		heads, revision, err := client.Status(ctx)
		if err == nil {
			if found, settled := findWrite(heads, change); settled {
				return found, settlementError(op, found)
			}
			if revision == write.Expect {
				if _, err = client.options.Store.Swap(ctx, write); err == nil {
					return Written, nil
				}
			}
		}
		select {
		case <-ctx.Done():
			client.options.Log.Log(event.HeadsUnsettled(), logrus.Fields{"token": change.Token})
			return Unknown, fault.Wrap(op, Unsettled, ctx.Err())
		case <-time.After(backoff):
		}
	}
}

// findWrite searches the history for a write. The second result is false if the
// outcome cannot be determined: the heads are older than the write, or its entry
// would already have been dropped from the history, which takes 100 later changes.
func findWrite(heads Heads, change Change) (Settlement, bool) {
	if heads.Sequence < change.Sequence {
		return Unknown, false
	}
	for _, entry := range heads.History {
		if entry.Token == change.Token {
			return Written, true
		}
	}
	if len(heads.History) > 0 && heads.History[0].Sequence > change.Sequence {
		return Unknown, false
	}
	return NotWritten, true
}

// settlementError returns a Conflict for a write that did not take effect.
func settlementError(op string, found Settlement) error {
	if found == Written {
		return nil
	}
	return fault.New(op, Conflict, "the reply was lost; a concurrent write was stored first and nothing was written")
}

// Settle determines the outcome of a change that failed with Unsettled, given its
// result. It fails with Unavailable or Invalid if the heads cannot be read, and
// with Unsettled while the write may still be in flight or if its entry may have
// been dropped from the history.
func (client *Client) Settle(ctx context.Context, result Result) (Settlement, error) {
	heads, _, err := client.Status(ctx)
	if err != nil {
		return Unknown, err
	}
	found, settled := findWrite(heads, result.Heads.LastChange())
	if !settled {
		return Unknown, fault.New("heads.settle", Unsettled, "the write is not in the history and may still be in flight")
	}
	return found, nil
}

// rejectConflict returns a Conflict that names the latest conflicting change.
func (client *Client) rejectConflict(operation operation, heads Heads, settlement Settlement) (Result, error) {
	latest := heads.LastChange()
	for _, change := range heads.History {
		if operation.conflictsWith(change) {
			latest = change
		}
	}
	result := Result{Heads: heads, Settlement: settlement, ConflictingChange: latest}
	return client.reject(operation, result, fault.New(operation.op, Conflict, latest.describe()))
}

// reject logs a failed operation and returns its result and error.
func (client *Client) reject(operation operation, result Result, err error) (Result, error) {
	client.options.Log.Log(event.HeadsRefused(), logrus.Fields{
		"operation": operation.op, "operator": operation.operator, "kind": fault.KindOf[Kind](err),
		"error": err.Error(), "settlement": result.Settlement,
	})
	return result, err
}

// logChange logs the event of a change that was written.
func (client *Client) logChange(changeEvent event.Event, result Result) {
	change := result.Heads.LastChange()
	client.options.Log.Log(changeEvent, logrus.Fields{
		"generation": change.Generation, "digest": change.Digest, "lot": change.Lot, "operator": change.Operator,
		"reason": change.Reason, "settlement": result.Settlement,
	})
}

// storeDocument writes a document under its digest if the key does not exist. An
// existing value has the same digest, so Conflict counts as success, and a write
// whose reply was lost can be repeated.
func (client *Client) storeDocument(ctx context.Context, document Document) error {
	const op = "heads.store_document"
	write := store.Swap{Key: DocumentKey(client.options.Environment, document.Digest), Value: document.Data}
	for backoff := initialBackoff; ; backoff = min(2*backoff, maximumBackoff) {
		_, err := client.options.Store.Swap(ctx, write)
		switch {
		case err == nil || fault.Is(err, store.Conflict):
			return nil
		case fault.Is(err, store.Unavailable):
			return fault.Wrap(op, Unavailable, err)
		case fault.Is(err, store.Refused):
			return fault.Wrap(op, Invalid, err)
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(op, Unavailable, ctx.Err())
		case <-time.After(backoff):
		}
	}
}
