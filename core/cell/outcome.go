package cell

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/poison"
)

// handleAttemptEnd handles the end of an attempt.
func (call *call) handleAttemptEnd(attempt *attempt, err error) error {
	if !call.removeLive(attempt) {
		return nil
	}
	if call.answerFinished() {
		call.complete = true
		return nil
	}
	return call.continueAfter(attempt, attemptError(attempt, err))
}

// removeLive removes an attempt from the live ones and reports whether it was
// one of them.
func (call *call) removeLive(attempt *attempt) bool {
	index := slices.Index(call.live, attempt)
	if index < 0 {
		return false
	}
	call.live = slices.Delete(call.live, index, index+1)
	if call.winner == attempt {
		call.winner = nil
	}
	return true
}

// cancelAttempt cancels an attempt whose chunks are no longer accepted and
// decides how the call continues.
func (call *call) cancelAttempt(attempt *attempt, err error) error {
	call.removeLive(attempt)
	attempt.cancel(err)
	return call.continueAfter(attempt, err)
}

// attemptError returns why an attempt ended before its answer was complete: a
// cell error, or the cause with which the cell cancelled it.
func attemptError(attempt *attempt, err error) error {
	const op = "cell.Serve"
	kind := fault.KindOf[Kind](err)
	if kind == Crashed {
		return err
	}
	if cause := context.Cause(attempt.ctx); errors.Is(cause, errPreempted) || errors.Is(cause, errWithdrawn) {
		return cause
	}
	switch {
	case err == nil:
		return fault.New(op, Broken, "the answer ended without a finish reason")
	case kind == Rejected, kind == Stalled, kind == Broken:
		return err
	case (kind == Refused || kind == TurnedAway) && !attempt.streamed:
		return err
	}
	return fault.Wrap(op, Broken, err)
}

// continueAfter decides how a call continues after an attempt ended with an
// error.
func (call *call) continueAfter(attempt *attempt, err error) error {
	kind := fault.KindOf[Kind](err)
	if kind != Refused && kind != Rejected && call.run == NotRun {
		call.run = RunUnknown
	}
	if err := call.handleCrash(attempt); err != nil {
		return err
	}
	if len(call.live) > 0 {
		// The other attempt of the hedge continues.
		return nil
	}
	switch {
	case kind == Rejected:
		return err
	case kind == "":
		// The cell cancelled the attempt. This does not count as a retry.
		return call.submit()
	case kind == Refused, kind == TurnedAway && call.request.Idempotent:
		call.cell.log(event.CellRefused(), withCause(attempt, err))
		return call.retry(attempt, err)
	case !call.request.Idempotent, call.cell.options.Switches.DisableResume:
		call.run = RunUnknown
		return fault.Wrap("cell.Serve", Unknown, err)
	}
	call.cell.recordResume(attempt, err)
	return call.retry(attempt, err)
}

// recordResume counts and logs that a call continues with another attempt.
func (cell *Cell) recordResume(attempt *attempt, err error) {
	cell.mutex.Lock()
	cell.stats.Resumed++
	cell.mutex.Unlock()
	fields := withCause(attempt, err)
	fields["from_offset"] = attempt.call.answer.Tokens()
	cell.log(event.CellResumed(), fields)
}

func withCause(attempt *attempt, err error) map[string]any {
	fields := attempt.fields()
	fields["why"] = err.Error()
	return fields
}

// retry schedules the return of a call to the queue after a backoff, preferring
// another server.
func (call *call) retry(attempt *attempt, err error) error {
	call.retries++
	if call.retries > maxRetries {
		if call.run == NotRun {
			return err
		}
		return fault.Wrap("cell.Serve", Unknown, err)
	}
	call.lastError = err
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call.avoidServer = attempt.server
	call.retryAt = time.Now().Add(cell.backoff.Delay(call.retries))
	return nil
}

// retryWithinBudget returns a call to the queue if the retry budget allows it.
// Otherwise the call waits longer, so that work is delayed rather than lost.
func (call *call) retryWithinBudget(now time.Time) error {
	if call.lastError != nil && !call.cell.spendRetry(call, now) {
		return nil
	}
	call.lastError = nil
	return call.submit()
}

// spendRetry takes a retry out of the budget, or schedules the next try if the
// budget is exhausted.
func (cell *Cell) spendRetry(call *call, now time.Time) bool {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.retries.TryWithdraw() {
		return true
	}
	call.retryAt = now.Add(cell.backoff.Delay(call.retries + 1))
	return false
}

// submit adds a call to the queue or, if it is a suspect, to the waiting
// suspects.
func (call *call) submit() error {
	verdict := call.cell.poisonVerdict(&call.request)
	switch {
	case verdict == poison.Refused:
		return call.poisonError()
	case verdict == poison.Exclusive:
		return call.submitIsolated()
	case call.holdsClaim:
		call.releaseClaim(poison.RunResult{})
	}
	return call.cell.enqueue(call)
}

// handleDecision handles a decision of the cell about the queued call.
func (call *call) handleDecision(decision decision) error {
	if decision.err != nil {
		call.outcome.RetryAfter = decision.retryAfter
		return decision.err
	}
	if decision.attempt == nil {
		return call.submit()
	}
	call.preemptAt = time.Time{}
	call.lateCheckAt = time.Time{}
	call.startAttempt(decision.attempt)
	return nil
}

// handleStall handles an attempt without progress. A call that is not
// idempotent keeps waiting, because it must not be run again and its answer may
// still arrive.
func (call *call) handleStall(attempt *attempt, now time.Time) error {
	cell := call.cell
	cell.mutex.Lock()
	cell.stats.Stalled++
	cell.health.ObserveFailure(attempt.server.Name)
	cell.mutex.Unlock()
	cell.log(event.CellStalled(), attempt.fields())
	if !attempt.streamed {
		call.stalls++
	}
	if !call.request.Idempotent {
		attempt.stallAt = time.Time{}
		return nil
	}
	detail := fmt.Sprintf("no progress on server %s, %s after dispatch", attempt.server.Name, now.Sub(attempt.dispatched))
	return call.cancelAttempt(attempt, fault.New("cell.Serve", Stalled, detail))
}
