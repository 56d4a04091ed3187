package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/ledger"
	"primrosegw/io/link"
)

// once sends ledger calls to the host that owns the key's partition, so that
// one host batches a partition's writes. Ownership is only for the batching:
// when the owner can't be reached, this host asks the service itself.
type once struct {
	daemon *Daemon
	local  *ledger.Ledger
}

// ledgerOperation is what a ledger call asks for.
type ledgerOperation string

const (
	operationBegin   ledgerOperation = "begin"
	operationFinish  ledgerOperation = "finish"
	operationAbandon ledgerOperation = "abandon"
)

// ledgerCall is a ledger call to the owner of a partition.
type ledgerCall struct {
	Operation ledgerOperation `cbor:"operation"`
	Key       ledger.Key      `cbor:"key"`
	Outcome   ledger.Outcome  `cbor:"outcome"`
	LeftMs    int64           `cbor:"left_ms"`
}

// ledgerAnswer is the owner's answer.
type ledgerAnswer struct {
	Verdict ledger.Verdict `cbor:"verdict"`
	Outcome ledger.Outcome `cbor:"outcome"`
	Attempt string         `cbor:"attempt"`
	// LeftMs is the time until which a call may be dispatched.
	LeftMs int64       `cbor:"left_ms"`
	Kind   ledger.Kind `cbor:"kind"`
	Field  string      `cbor:"field"`
	Text   string      `cbor:"text"`
}

// Begin implements entry.Ledger.
func (once *once) Begin(ctx context.Context, key ledger.Key) (ledger.Decision, error) {
	key.Attempt = ledger.NewAttempt()
	asked := time.Now()
	answer, err := once.ask(ctx, ledgerCall{Operation: operationBegin, Key: key})
	if err == nil {
		return answer.decision(asked), answer.err()
	}
	if errors.Is(err, errLocal) {
		return once.local.Begin(ctx, key)
	}
	if fault.Is(err, link.Unreachable) {
		return once.local.Begin(ctx, key)
	}
	// The owner may have recorded the intent. No one but this host may run that
	// attempt, and this host never will, so the intent can be taken back.
	if err := once.local.Abandon(ctx, key); err != nil {
		return ledger.Decision{}, fault.Wrap("daemon.begin", ledger.NotRun, err)
	}
	key.Attempt = ledger.NewAttempt()
	return once.local.Begin(ctx, key)
}

// Finish implements entry.Ledger.
func (once *once) Finish(ctx context.Context, key ledger.Key, outcome ledger.Outcome) error {
	answer, err := once.ask(ctx, ledgerCall{Operation: operationFinish, Key: key, Outcome: outcome})
	if err != nil {
		// Recording an outcome twice is the same as once.
		return once.local.Finish(ctx, key, outcome)
	}
	return answer.err()
}

// Abandon implements entry.Ledger.
func (once *once) Abandon(ctx context.Context, key ledger.Key) error {
	answer, err := once.ask(ctx, ledgerCall{Operation: operationAbandon, Key: key})
	if err != nil {
		return once.local.Abandon(ctx, key)
	}
	return answer.err()
}

// errLocal says that this host owns the partition itself.
var errLocal = errors.New("this host owns the partition")

// ask sends a call to the partition's owner.
func (once *once) ask(ctx context.Context, call ledgerCall) (ledgerAnswer, error) {
	daemon := once.daemon
	ranked := host.Rank(once.local.Partition(call.Key), daemon.members.Alive())
	if len(ranked) == 0 || ranked[0].Name == daemon.self.Name {
		return ledgerAnswer{}, errLocal
	}
	call.LeftMs = recordLimit.Milliseconds()
	if deadline, ok := ctx.Deadline(); ok {
		call.LeftMs = time.Until(deadline).Milliseconds()
	}
	var answer ledgerAnswer
	err := daemon.link.Ask(ctx, ranked[0].LinkAddress, messageLedger, call, &answer)
	return answer, err
}

// recordLimit bounds a ledger call without a deadline.
const recordLimit = 10 * time.Second

// serveLedger answers a ledger call of another host.
func (daemon *Daemon) serveLedger(ctx context.Context, stream *link.Stream) {
	var call ledgerCall
	if err := stream.Read(&call); err != nil {
		daemon.logger.Log(event.LinkRefused(), logrus.Fields{"peer": stream.Peer(), "error": err.Error()})
		return
	}
	// The call outlives a caller that gives up: what it has begun to write
	// must be settled.
	left := time.Duration(min(call.LeftMs, longestCall.Milliseconds())) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	_ = stream.Write(daemon.ledger.perform(ctx, call))
}

func (once *once) perform(ctx context.Context, call ledgerCall) ledgerAnswer {
	var decision ledger.Decision
	var err error
	switch call.Operation {
	case operationBegin:
		decision, err = once.local.Begin(ctx, call.Key)
	case operationFinish:
		err = once.local.Finish(ctx, call.Key, call.Outcome)
	case operationAbandon:
		err = once.local.Abandon(ctx, call.Key)
	default:
		err = fault.Field("daemon.ledger", ledger.Invalid, "operation", "found "+string(call.Operation))
	}
	answer := ledgerAnswer{Verdict: decision.Verdict, Outcome: decision.Outcome, Attempt: decision.Attempt}
	if !decision.DispatchUntil.IsZero() {
		answer.LeftMs = time.Until(decision.DispatchUntil).Milliseconds()
	}
	var failure *ledger.Error
	if errors.As(err, &failure) {
		answer.Kind, answer.Field, answer.Text = failure.Kind, failure.Field, failure.Error()
	}
	return answer
}

// decision turns the answer into a decision. The time left counts from before
// the question was sent, so that a slow link only shortens it.
func (answer ledgerAnswer) decision(asked time.Time) ledger.Decision {
	return ledger.Decision{
		Verdict: answer.Verdict, Outcome: answer.Outcome, Attempt: answer.Attempt,
		DispatchUntil: asked.Add(time.Duration(answer.LeftMs) * time.Millisecond),
	}
}

func (answer ledgerAnswer) err() error {
	if answer.Kind == "" {
		return nil
	}
	return &ledger.Error{Op: "ledger.owner", Kind: answer.Kind, Field: answer.Field, Detail: answer.Text}
}
