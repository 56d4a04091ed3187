package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/ledger"
)

// Ledger lets calls with an idempotency key run at most once. The daemon
// implements it over the host that owns the key's partition.
type Ledger interface {
	Begin(ctx context.Context, key ledger.Key) (ledger.Decision, error)
	Finish(ctx context.Context, key ledger.Key, outcome ledger.Outcome) error
	Abandon(ctx context.Context, key ledger.Key) error
}

// Kind is the sort of an entry error.
type Kind string

// The kinds of entry errors.
const (
	// Begun: an earlier call with the key was begun and its outcome is not
	// known; it is not run again.
	Begun Kind = "outcome_unknown"
	// Running: an earlier call with the key is still running.
	Running Kind = "in_progress"
	// Late: the call could not be started in time after its intent was recorded.
	Late Kind = "late"
	// Large: the recorded answer was too large to keep.
	Large Kind = "answer_not_kept"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// recordTimeout bounds the wait for the record of an outcome, also when the
	// caller is gone already.
	recordTimeout = 5 * time.Second
	// runningRetry is when a caller may ask again for the answer of a call that
	// still runs.
	runningRetry = time.Second
)

/*
once runs a call at most once for its key. The intent is recorded before the
call is dispatched; what follows depends on what the ledger holds:

  - no earlier call: the call runs and its outcome is recorded. A call that
    certainly did not run gives its key back.
  - an earlier call with an outcome: its answer is replayed.
  - an earlier call without one: the caller is told that the outcome is unknown
    and that the call is not run again.
*/
func (entry *Entry) once(
	ctx context.Context, key ledger.Key,
	run func(context.Context) (ledger.Outcome, cell.RunStatus, error), replay func(ledger.Outcome) error,
) (cell.RunStatus, error) {
	const op = "entry.once"
	decision, err := entry.options.Ledger.Begin(ctx, key)
	if err != nil {
		return cell.NotRun, err
	}
	key.Attempt = decision.Attempt
	switch decision.Verdict {
	case ledger.Recorded:
		return cell.Ran, replay(decision.Outcome)
	case ledger.Unknown:
		return cell.RunUnknown, fault.New(op, Begun, "an earlier call with this idempotency key was begun; it is not run again")
	case ledger.InProgress:
		return cell.RunUnknown, fault.New(op, Running, "an earlier call with this idempotency key is still running")
	}
	if !time.Now().Before(decision.DispatchUntil) {
		// The host was paused after the intent was recorded. Another host may
		// have settled the intent by now, so the call must not run any more.
		entry.settle(ctx, key, cell.NotRun, ledger.Outcome{})
		return cell.NotRun, fault.New(op, Late, "the call could not be started in time")
	}
	outcome, ran, err := run(ctx)
	if err == nil {
		ran = cell.Ran
	}
	if err != nil && ran == cell.Ran {
		// The call ran, but its answer did not arrive whole.
		ran = cell.RunUnknown
	}
	entry.settle(ctx, key, ran, outcome)
	return ran, err
}

// settle records what became of a call, whether or not the caller still waits.
func (entry *Entry) settle(ctx context.Context, key ledger.Key, ran cell.RunStatus, outcome ledger.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var err error
	switch ran {
	case cell.Ran:
		err = entry.options.Ledger.Finish(ctx, key, outcome)
	case cell.NotRun:
		err = entry.options.Ledger.Abandon(ctx, key)
	}
	if err != nil {
		entry.options.Meter.AddToCounter("ledger_unrecorded", "kind", string(fault.KindOf[ledger.Kind](err)), 1)
	}
}

// key names a request in the ledger.
func (parsed parsed) key() ledger.Key {
	return ledger.Key{
		Workspace: parsed.workspace.Name, IdempotencyKey: parsed.idempotency,
		BodyHash: sha256.Sum256(parsed.request.Body),
	}
}

// recordedAnswer is an answer for text as the ledger keeps it.
type recordedAnswer struct {
	Text   string `json:"text"`
	Finish string `json:"finish"`
	Tokens int    `json:"tokens"`
	// Tools are the calls of functions, each whole.
	Tools []tool `json:"tools,omitempty"`
}

// recorded returns what the ledger keeps of the answer.
func (answer *answer) recorded() ledger.Outcome {
	body, _ := json.Marshal(recordedAnswer{
		Text: answer.text.String(), Finish: answer.finish, Tokens: answer.tokens, Tools: mergeTools(answer.tools),
	})
	return ledger.Outcome{Status: http.StatusOK, Body: body}
}

// replay gives the caller the recorded answer of an earlier call.
func (answer *answer) replay(outcome ledger.Outcome) error {
	const op = "entry.replay"
	answer.writer.Header().Set(HeaderReplayed, "true")
	if outcome.Trimmed {
		return fault.New(op, Large, "the call ran, but its answer was too large to keep")
	}
	var kept recordedAnswer
	if err := json.Unmarshal(outcome.Body, &kept); err != nil {
		return fault.Wrap(op, Large, err)
	}
	field := map[string]any{"text": kept.Text}
	if answer.parsed.request.Chat {
		delta := map[string]any{"content": kept.Text}
		if len(kept.Tools) > 0 {
			delta["tool_calls"] = kept.Tools
		}
		field = map[string]any{"delta": delta}
	}
	field["index"], field["finish_reason"] = 0, kept.Finish
	data, err := json.Marshal(map[string]any{"choices": []any{field}})
	if err != nil {
		return fault.Wrap(op, Large, err)
	}
	return answer.emit(cell.Chunk{Tokens: kept.Tokens, Text: kept.Text, Data: data, FinishReason: kept.Finish})
}
