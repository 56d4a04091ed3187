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
	// attemptLimit bounds the tries of one change against changes of others
	// that don't concern it, such as a verdict during a recall.
	attemptLimit = 8
	// settlePause is the first pause between tries to read a value back; it
	// doubles up to settlePauseMost.
	settlePause     = 50 * time.Millisecond
	settlePauseMost = 2 * time.Second
)

// Settlement says how a lost reply was settled.
type Settlement string

// The settlements. None: no reply was lost.
const (
	None       Settlement = ""
	Written    Settlement = "written"
	NotWritten Settlement = "not_written"
	Unknown    Settlement = "unknown"
)

// Result is what became of a change.
type Result struct {
	// Heads is the state after the change, or the state that stood against it.
	Heads Heads
	// Settlement says whether a reply was lost and what was found then.
	Settlement Settlement
	// Token identifies the write for Settle.
	Token string
	// Winner is the change that came first, when the error is a Conflict.
	Winner Change
}

// Options are the dependencies of a Client.
type Options struct {
	Store       store.Store
	Environment string
	// Host names the writer in its tokens.
	Host string
	// Random makes tokens; it differs between processes.
	Random *rand.Rand
	// Log takes events; nil: none.
	Log *event.Logger
}

// Client changes the heads of one environment on behalf of operators. It keeps
// no state between calls. Its methods may be called at the same time.
type Client struct {
	options Options
	// mutex guards options.Random.
	mutex sync.Mutex
}

// New returns a client. It fails with Invalid, naming the option.
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

// Status returns the heads and their revision. An environment without a value
// has zero heads at revision 0. It fails with Unavailable or Invalid.
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
		return nil, fault.Field(op, Absent, "digest", "no document "+short(digest)+" is stored")
	case err != nil:
		return nil, fault.Wrap(op, Unavailable, err)
	case Digest(entry.Value) != digest:
		return nil, fault.Field(op, Invalid, "digest", "the stored document does not match "+short(digest))
	}
	return entry.Value, nil
}

// Trial stores a document under its digest and sets the trial head. Of two
// trials begun at the same moment the later gets a Conflict.
func (client *Client) Trial(ctx context.Context, document Document, operator, reason string) (Result, error) {
	const op = "heads.trial"
	if Digest(document.Data) != document.Digest {
		return Result{}, fault.Field(op, Invalid, "digest", "does not match the document")
	}
	if err := client.storeDocument(ctx, document); err != nil {
		return Result{}, err
	}
	return client.change(ctx, order{
		op: op, operator: operator, reason: reason, event: event.HeadsTried(), trial: true,
		apply: func(heads Heads, change Change) (Heads, error) { return heads.Try(document, change) },
	})
}

// Verdict records the outcome of the trial.
func (client *Client) Verdict(ctx context.Context, verdict Verdict, operator, reason string) (Result, error) {
	return client.change(ctx, order{
		op: "heads.verdict", operator: operator, reason: reason, event: event.HeadsJudged(), trial: true,
		apply: func(heads Heads, change Change) (Heads, error) { return heads.Judge(verdict, change) },
	})
}

// Promote puts the trial's document in production, after a passing verdict.
func (client *Client) Promote(ctx context.Context, digest, operator, reason string) (Result, error) {
	return client.change(ctx, order{
		op: "heads.promote", operator: operator, reason: reason, event: event.HeadsPromoted(),
		apply: func(heads Heads, change Change) (Heads, error) { return heads.Promote(digest, change) },
	})
}

// Recall takes a lot of documents, model versions and adapters out of force.
func (client *Client) Recall(ctx context.Context, lot, operator, reason string) (Result, error) {
	return client.change(ctx, order{
		op: "heads.recall", operator: operator, reason: reason, event: event.HeadsRecalled(),
		apply: func(heads Heads, change Change) (Heads, error) { return heads.Recall(lot, change) },
	})
}

// order is one change on its way.
type order struct {
	op, operator, reason string
	event                event.Event
	// trial says that the order builds on the trial head and not on production.
	trial bool
	apply func(Heads, Change) (Heads, error)
}

// basis returns the part of the heads that the operator decided on. Only a
// change of it is a conflict.
func (order order) basis(heads Heads) uint64 {
	switch {
	case !order.trial:
		return heads.Generation
	case heads.Trial == nil:
		return 0
	default:
		return heads.Trial.Sequence
	}
}

// moves reports whether a change moves the basis.
func (order order) moves(change Change) bool {
	return change.Action == Promoted || change.Action == Withdrew || (order.trial && change.Action == Tried)
}

// change reads, applies and swaps until the swap is settled one way or the
// other, or a change that concerns the order came first.
func (client *Client) change(ctx context.Context, order order) (Result, error) {
	if order.operator == "" || len(order.operator) > nameLimit {
		return Result{}, fault.Field(order.op, Invalid, "operator", "is empty or longer than 64 bytes")
	}
	var basis uint64
	settlement := None
	for attempt := range attemptLimit {
		heads, revision, err := client.Status(ctx)
		if err != nil {
			return client.refuse(order, Result{Settlement: settlement}, err)
		}
		if attempt == 0 {
			basis = order.basis(heads)
		} else if order.basis(heads) != basis {
			return client.lose(order, heads, settlement)
		}
		next, err := order.apply(heads, client.describe(order))
		if err != nil {
			return client.refuse(order, Result{Heads: heads, Settlement: settlement}, err)
		}
		result, err := client.swap(ctx, next, revision)
		if err == nil {
			client.report(order.event, result)
			return result, nil
		}
		if !fault.Is(err, Conflict) {
			return client.refuse(order, result, err)
		}
		settlement = result.Settlement
	}
	return client.refuse(order, Result{Settlement: settlement},
		fault.New(order.op, Unavailable, "other changes came first 8 times; nothing was written"))
}

// describe returns the change of an order with a token of its own.
func (client *Client) describe(order order) Change {
	now := time.Now().UTC()
	client.mutex.Lock()
	number := client.options.Random.Uint64()
	client.mutex.Unlock()
	token := fmt.Sprintf("%s-%x-%016x", client.options.Host, now.UnixNano(), number)
	return Change{Operator: order.operator, Reason: order.reason, At: now, Token: token}
}

// swap writes the heads and settles a lost reply. It fails with Conflict if
// another write came first, Unavailable, Unsettled or Invalid.
func (client *Client) swap(ctx context.Context, next Heads, revision int64) (Result, error) {
	const op = "heads.swap"
	result := Result{Heads: next, Token: next.Last().Token}
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
	result.Settlement, err = client.settle(ctx, write, next.Last())
	client.options.Log.Log(event.HeadsSettled(), logrus.Fields{
		"settlement": result.Settlement, "token": result.Token, "sequence": next.Sequence,
	})
	return result, err
}

// settle finds out what became of a write whose reply was lost.
//
// If the writer's token is in the stored history, the write took effect. If
// the key has moved on without the token, the write failed and cannot take
// effect any more, because the revision it expects is gone. If the key is
// still at the old revision, the write may yet arrive; the same write is then
// sent again: either copy uses up the revision, and both carry the same token.
func (client *Client) settle(ctx context.Context, write store.Swap, change Change) (Settlement, error) {
	const op = "heads.settle"
	for pause := settlePause; ; pause = min(2*pause, settlePauseMost) {
		heads, revision, err := client.Status(ctx)
		if err == nil {
			if found, settled := find(heads, change); settled {
				return found, settledError(op, found)
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
		case <-time.After(pause):
		}
	}
}

// find looks for a write in the heads. It reports false while the heads are
// still those before the write, and when the history no longer reaches back to
// it, which takes 100 changes during one settlement.
func find(heads Heads, change Change) (Settlement, bool) {
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

// settledError returns the error of a write found not to have taken effect.
func settledError(op string, found Settlement) error {
	if found == Written {
		return nil
	}
	return fault.New(op, Conflict, "the reply was lost; another write came first and nothing was written")
}

// Settle finds out later what became of an Unsettled change, from its result.
// It fails with Unavailable, or with Unsettled while the write may yet arrive
// or if the history no longer reaches back to it.
func (client *Client) Settle(ctx context.Context, result Result) (Settlement, error) {
	heads, _, err := client.Status(ctx)
	if err != nil {
		return Unknown, err
	}
	found, settled := find(heads, result.Heads.Last())
	if !settled {
		return Unknown, fault.New("heads.settle", Unsettled, "the write is not in the history and may yet arrive")
	}
	return found, nil
}

// lose returns the conflict with the change that came first.
func (client *Client) lose(order order, heads Heads, settlement Settlement) (Result, error) {
	winner := heads.Last()
	for _, change := range heads.History {
		if order.moves(change) {
			winner = change
		}
	}
	result := Result{Heads: heads, Settlement: settlement, Winner: winner}
	return client.refuse(order, result, fault.New(order.op, Conflict, winner.text()))
}

// refuse reports a change that was not made.
func (client *Client) refuse(order order, result Result, err error) (Result, error) {
	client.options.Log.Log(event.HeadsRefused(), logrus.Fields{
		"operation": order.op, "operator": order.operator, "kind": fault.KindOf[Kind](err),
		"error": err.Error(), "settlement": result.Settlement,
	})
	return result, err
}

// report writes the event of a change that was made.
func (client *Client) report(made event.Event, result Result) {
	change := result.Heads.Last()
	client.options.Log.Log(made, logrus.Fields{
		"generation": change.Generation, "digest": change.Digest, "lot": change.Lot, "operator": change.Operator,
		"reason": change.Reason, "settlement": result.Settlement,
	})
}

// storeDocument writes a document under its digest. A document that is there
// already is the same one; a lost reply is settled by writing again.
func (client *Client) storeDocument(ctx context.Context, document Document) error {
	const op = "heads.store_document"
	write := store.Swap{Key: DocumentKey(client.options.Environment, document.Digest), Value: document.Data}
	for pause := settlePause; ; pause = min(2*pause, settlePauseMost) {
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
		case <-time.After(pause):
		}
	}
}
