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

// ended handles the end of an attempt.
func (call *call) ended(attempt *attempt, err error) error {
	if !call.remove(attempt) {
		return nil
	}
	if call.isFinished() {
		call.complete = true
		return nil
	}
	return call.over(attempt, classify(attempt, err))
}

// remove takes an attempt off the live ones and reports whether it was one.
func (call *call) remove(attempt *attempt) bool {
	position := slices.Index(call.live, attempt)
	if position < 0 {
		return false
	}
	call.live = slices.Delete(call.live, position, position+1)
	if call.winner == attempt {
		call.winner = nil
	}
	return true
}

// detach cancels an attempt whose pieces are not accepted any more.
func (call *call) detach(attempt *attempt, err error) error {
	call.remove(attempt)
	attempt.cancel(err)
	return call.over(attempt, err)
}

// classify returns the reason for the end of an attempt whose answer is not
// finished: one of the cell's errors, or why the cell cancelled it.
func classify(attempt *attempt, err error) error {
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
	case kind == Refused && !attempt.streamed:
		return err
	}
	return fault.Wrap(op, Broken, err)
}

// over decides how a call goes on after an attempt is over.
func (call *call) over(attempt *attempt, err error) error {
	kind := fault.KindOf[Kind](err)
	if kind != Refused && kind != Rejected && call.run == NotRun {
		call.run = RunUnknown
	}
	if err := call.convict(attempt); err != nil {
		return err
	}
	if len(call.live) > 0 {
		// The other attempt of a hedge goes on.
		return nil
	}
	switch {
	case kind == Rejected:
		return err
	case kind == "":
		// The cell took the slot back: the call is not at fault.
		return call.enter()
	case kind == Refused:
		call.cell.log(event.CellRefused(), withCause(attempt, err))
		return call.retry(attempt, err)
	case !call.request.Idempotent, call.cell.options.Switches.DisableResume:
		call.run = RunUnknown
		return fault.Wrap("cell.Serve", Unknown, err)
	}
	call.cell.resumed(attempt, err)
	return call.retry(attempt, err)
}

// resumed counts and logs that a call continues elsewhere.
func (cell *Cell) resumed(attempt *attempt, err error) {
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

// retry puts a call back into the queue after a delay, on another server if
// there is one.
func (call *call) retry(attempt *attempt, err error) error {
	call.retries++
	if call.retries > maximumRetries {
		if call.run == NotRun {
			return err
		}
		return fault.Wrap("cell.Serve", Unknown, err)
	}
	call.cause = err
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call.avoid = attempt.server
	call.retryAt = time.Now().Add(cell.backoff.Delay(call.retries))
	return nil
}

// again puts a call back into the queue if the retry budget allows it, and
// otherwise waits longer: work is delayed rather than lost.
func (call *call) again(now time.Time) error {
	if call.cause != nil && !call.cell.spend(call, now) {
		return nil
	}
	call.cause = nil
	return call.enter()
}

// spend takes a retry out of the budget, or sets the next try.
func (cell *Cell) spend(call *call, now time.Time) bool {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.retries.TryWithdraw() {
		return true
	}
	call.retryAt = now.Add(cell.backoff.Delay(call.retries + 1))
	return false
}

// enter puts a call into the queue, or among the suspects.
func (call *call) enter() error {
	verdict := call.cell.suspicion(&call.request)
	switch {
	case verdict == poison.Refused:
		return call.poisoned()
	case verdict == poison.Exclusive:
		return call.enterAlone()
	case call.claimed:
		call.unclaim(poison.RunResult{})
	}
	return call.cell.enqueue(call)
}

// granted handles what the cell decided about the queued call.
func (call *call) granted(grant grant) error {
	if grant.err != nil {
		call.outcome.RetryAfter = grant.retry
		return grant.err
	}
	if grant.attempt == nil {
		return call.enter()
	}
	call.relieveAt = time.Time{}
	call.lateAt = time.Time{}
	call.start(grant.attempt)
	return nil
}

// stalled handles an attempt without progress. A call that may not be run again
// goes on waiting: its answer may still come.
func (call *call) stalled(attempt *attempt, now time.Time) error {
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
	detail := fmt.Sprintf("no progress on %s, %s after dispatch", attempt.server.Name, now.Sub(attempt.dispatched))
	return call.detach(attempt, fault.New("cell.Serve", Stalled, detail))
}
