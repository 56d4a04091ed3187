package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/ledger"
	"primrosegw/core/limit"
	"primrosegw/io/meter"
)

// serveGenerate answers a request for text.
func (entry *Entry) serveGenerate(writer http.ResponseWriter, request *http.Request, chat bool) {
	parsed, found := entry.parse(writer, request, chat)
	if found != nil {
		entry.refuse(writer, request, *found)
		return
	}
	writer.Header().Set(HeaderRequestID, parsed.request.ID)
	permit, err := entry.options.Limiter.Acquire(parsed.workspace.Name)
	if err != nil {
		entry.refuse(writer, request, limited(err))
		return
	}
	answer := newAnswer(writer, parsed, entry.options.Limits.WriteTimeout)
	defer permit.Release()
	defer func() { permit.Debit(answer.tokens) }()
	entry.options.Logger.Log(event.RequestReceived(), logrus.Fields{
		"request_id": parsed.request.ID, "workspace": parsed.workspace.Name, "class": parsed.class.Name,
		"model": parsed.request.Model, "prompt_tokens": parsed.request.PromptTokens, "stream": parsed.stream,
	})
	ctx, cancel := context.WithDeadline(request.Context(), parsed.request.Deadline)
	defer cancel()
	entry.generate(ctx, parsed, answer)
}

// generate runs a request, once at most if it has an idempotency key.
func (entry *Entry) generate(ctx context.Context, parsed parsed, answer *answer) {
	var outcome cell.Outcome
	run := func(ctx context.Context) (ledger.Outcome, cell.RunStatus, error) {
		var err error
		outcome, err = entry.options.Router.Generate(ctx, parsed.request, answer.emit)
		answer.close()
		if err == nil && answer.finish == "" {
			err = fault.New("entry.generate", cell.Broken, "the answer ended without a reason for its end")
		}
		return answer.recorded(), outcome.Run, err
	}
	var err error
	if parsed.idempotency == "" {
		_, outcome.Run, err = run(ctx)
	} else {
		outcome.Run, err = entry.once(ctx, parsed.key(), run, answer.replay)
	}
	status := http.StatusOK
	if err == nil {
		err = answer.end()
	}
	if err != nil {
		problem := describe(outcome, err)
		status = problem.status
		outcome.Run = problem.run
		answer.fail(problem)
	}
	entry.record(parsed, answer, outcome, status, err)
}

// limited says which limit of the workspace was reached.
func limited(err error) problem {
	refused := problem{
		status: http.StatusTooManyRequests, kind: "rate_limit_exceeded", message: err.Error(),
		run: cell.NotRun, retryAfter: limit.RetryAfter(err),
	}
	var reached *limit.Error
	if errors.As(err, &reached) {
		refused.param = reached.Field
	}
	return refused
}

// record logs and measures a request that ended.
func (entry *Entry) record(parsed parsed, answer *answer, outcome cell.Outcome, status int, err error) {
	first := time.Duration(0)
	if !answer.first.IsZero() {
		first = answer.first.Sub(parsed.request.Arrived)
	}
	target := time.Duration(parsed.class.FirstTokenMs) * time.Millisecond
	between := time.Duration(parsed.class.BetweenTokensMs) * time.Millisecond
	measured := meter.RequestResult{
		Class: parsed.class.Name, Status: status, Run: string(outcome.Run), DeliveredTokens: answer.tokens,
		WastedTokens: outcome.Wasted, Attempts: outcome.Attempts, FirstToken: first, BetweenTokens: answer.gap(),
		InTarget: err == nil && first <= target && answer.gap() <= between,
	}
	entry.options.Meter.RecordRequest(measured)
	logged := logrus.Fields{
		"request_id": parsed.request.ID, "workspace": parsed.workspace.Name, "class": parsed.class.Name,
		"model": parsed.request.Model, "status": status, "run": outcome.Run, "server": outcome.Server,
		"attempts": outcome.Attempts, "tokens": answer.tokens, "wasted": outcome.Wasted,
		"first_token_ms": first.Milliseconds(), "between_tokens_ms": answer.gap().Milliseconds(),
		"in_target": measured.InTarget,
	}
	if err != nil {
		logged["error"] = err.Error()
	}
	if status == statusClientGone {
		entry.options.Logger.Log(event.CallerGone(), logged)
		return
	}
	entry.options.Logger.Log(event.RequestDone(), logged)
}
