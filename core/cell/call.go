package cell

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/stream"
)

// Cancellation causes that the cell gives to an attempt whose call continues.
var (
	errPreempted = errors.New("preempted for a call of a higher tier")
	errWithdrawn = errors.New("withdrawn: the request is suspected of crashing backend servers")
	errHedgeLost = errors.New("another attempt produced the first token first")
)

// call is the state of one request from Serve to its outcome. Only the
// goroutine that runs Serve accesses its fields, except those guarded by the
// cell's mutex.
type call struct {
	cell       *Cell
	id         string
	request    Request
	emit       func(Chunk) error
	ctx        context.Context
	cancel     context.CancelFunc
	receivedAt time.Time

	// decisions receives decisions about the queued call. A call is queued at
	// most once at a time, so a buffer of one never blocks the sender.
	decisions chan decision
	messages  chan message
	// wake signals that the slot freed by preemption for this call was given to
	// another call.
	wake  chan struct{}
	timer *time.Timer

	answer *stream.Stream
	// live lists the attempts whose chunks are accepted: two during a hedge.
	live []*attempt
	// winner is the live attempt that produced the first token.
	winner     *attempt
	run        RunStatus
	outcome    Outcome
	complete   bool
	finishedAt time.Time

	retries int
	// stalls counts attempts that stalled before their first token.
	stalls     int
	hedged     bool
	holdsClaim bool
	// lastError is the failure of the last attempt, until the retry is taken
	// from the budget.
	lastError error
	// retryAt is when the call returns to the queue; zero if it is not waiting
	// to retry.
	retryAt time.Time
	// preemptAt is when the queued call next requests a slot by preemption.
	// lateCheckAt is when a queued call that missed its target is checked
	// against its deadline. Zero means not scheduled.
	preemptAt   time.Time
	lateCheckAt time.Time

	// The fields below are guarded by the cell's mutex.
	queued      bool
	inSuspects  bool
	enqueued    time.Time
	cost        float64
	avoidServer *server
	preempting  *attempt
	// lastEviction is when the call last preempted another suspect.
	lastSuspectPreemption time.Time
	preemptions           int
	attempts              int
	wastedTokens          int
}

// decision is what the cell decided about a queued call: a slot, an error, or,
// if both are unset, that the call must be submitted again.
type decision struct {
	attempt    *attempt
	err        error
	retryAfter time.Duration
}

// Serve runs a request on a backend server and passes each chunk of the answer
// to emit, in order. It calls emit from its own goroutine and never after
// returning; while emit blocks, no further chunk is accepted. The outcome is
// valid even if an error is returned. Errors have kind Rejected, Shed, Expired,
// Gone, Poison, Closed or Unknown, or Refused if no server accepted the call.
func (cell *Cell) Serve(ctx context.Context, request Request, emit func(Chunk) error) (Outcome, error) {
	call := cell.newCall(ctx, request, emit)
	err := call.serve()
	call.finish(err)
	return call.outcome, err
}

// newCall registers a request and returns its call, not yet queued.
func (cell *Cell) newCall(ctx context.Context, request Request, emit func(Chunk) error) *call {
	now := time.Now()
	call := &call{
		cell: cell, request: request, emit: emit, run: NotRun, receivedAt: now,
		decisions: make(chan decision, 1), messages: make(chan message), wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour),
		answer: stream.New(stream.Options{
			Request: request.ID, Tokens: request.ResumeTokens, Text: request.ResumeText,
		}),
	}
	if request.ResumeTokens > 0 {
		call.run = Ran
	}
	if request.Deadline.IsZero() {
		call.ctx, call.cancel = context.WithCancel(ctx)
	} else {
		call.ctx, call.cancel = context.WithDeadline(ctx, request.Deadline)
	}
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.sequence++
	call.id = request.ID + "#" + strconv.FormatUint(cell.sequence, 10)
	cell.lastCallAt[request.Class] = now
	cell.stats.Calls++
	return call
}

// neverRan reports whether no engine has run the call. Only such a call may be
// shed or handed back.
func (call *call) neverRan() bool { return call.run == NotRun }

// serve runs the event loop of the call until it completes or fails.
func (call *call) serve() error {
	if call.ctx.Err() != nil {
		return call.contextError()
	}
	if err := call.submit(); err != nil {
		return err
	}
	for !call.complete {
		if err := call.step(); err != nil {
			return err
		}
	}
	return nil
}

// step waits for the next event of the call and handles it.
func (call *call) step() error {
	call.timer.Reset(time.Until(call.nextTimer()))
	select {
	case decision := <-call.decisions:
		return call.handleDecision(decision)
	case message := <-call.messages:
		if message.end {
			return call.handleAttemptEnd(message.attempt, message.err)
		}
		return call.handleChunk(message)
	case <-call.timer.C:
		return call.handleTimers(time.Now())
	case <-call.wake:
		call.requestSlot(time.Now())
		return nil
	case <-call.ctx.Done():
		if call.answerFinished() {
			call.complete = true
			return nil
		}
		return call.contextError()
	}
}

// nextTimer returns when the next timer of the call is due.
func (call *call) nextTimer() time.Time {
	next := time.Now().Add(time.Hour)
	takeEarlier := func(deadline time.Time) {
		if !deadline.IsZero() && deadline.Before(next) {
			next = deadline
		}
	}
	takeEarlier(call.retryAt)
	takeEarlier(call.preemptAt)
	takeEarlier(call.lateCheckAt)
	if call.answerFinished() {
		takeEarlier(call.finishedAt.Add(finishGrace))
		return next
	}
	for _, attempt := range call.live {
		takeEarlier(attempt.stallAt)
		takeEarlier(attempt.hedgeAt)
	}
	return next
}

// handleTimers runs the actions whose timers are due.
func (call *call) handleTimers(now time.Time) error {
	if call.answerFinished() {
		call.complete = !now.Before(call.finishedAt.Add(finishGrace))
		return nil
	}
	if isDue(call.retryAt, now) {
		call.retryAt = time.Time{}
		return call.retryWithinBudget(now)
	}
	if isDue(call.preemptAt, now) {
		call.preemptAt = time.Time{}
		call.requestSlot(now)
	}
	if isDue(call.lateCheckAt, now) {
		call.lateCheckAt = time.Time{}
		if err := call.recheckLate(now); err != nil {
			return err
		}
	}
	for _, attempt := range slices.Clone(call.live) {
		if isDue(attempt.hedgeAt, now) {
			attempt.hedgeAt = time.Time{}
			call.hedge(attempt, now)
		}
		if isDue(attempt.stallAt, now) {
			if err := call.handleStall(attempt, now); err != nil {
				return err
			}
		}
	}
	return nil
}

// isDue reports whether a deadline is set and has been reached.
func isDue(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// answerFinished reports whether the complete answer was delivered to the
// caller.
func (call *call) answerFinished() bool { return !call.finishedAt.IsZero() }

// handleChunk processes a chunk from an attempt. Until an attempt has produced
// a token, its chunks are held back, because a hedge may still win.
func (call *call) handleChunk(message message) error {
	attempt, chunk := message.attempt, message.chunk
	if !slices.Contains(call.live, attempt) {
		call.cell.addWasted(call, chunk.Tokens)
		return nil
	}
	if call.isForeign(attempt, chunk) {
		call.cell.addWasted(call, chunk.Tokens)
		call.cell.log(event.CellFrameDropped(), attempt.chunkFields(chunk, stream.WrongRequest))
		return nil
	}
	if call.winner == nil {
		if chunk.Tokens == 0 && chunk.FinishReason == "" {
			// A chunk without tokens does not show which attempt is faster.
			attempt.heldChunks = append(attempt.heldChunks, chunk)
			return nil
		}
		call.selectWinner(attempt)
		for _, earlier := range attempt.heldChunks {
			if err := call.deliver(attempt, earlier, 0); err != nil {
				return err
			}
		}
	}
	return call.deliver(attempt, chunk, message.generationTime)
}

// isForeign reports whether a chunk belongs to a request or attempt other than
// the one whose stream carried it.
func (call *call) isForeign(attempt *attempt, chunk Chunk) bool {
	return chunk.Request != "" && chunk.Request != call.request.ID ||
		chunk.Attempt != 0 && chunk.Attempt != attempt.number
}

// selectWinner makes an attempt the only one whose chunks are accepted and
// cancels the other.
func (call *call) selectWinner(attempt *attempt) {
	call.winner = attempt
	call.answer.BeginAttempt(attempt.number)
	attempt.hedgeAt = time.Time{}
	for _, other := range call.live {
		if other != attempt {
			call.cell.recordHedgeResult(attempt, other)
			other.cancel(errHedgeLost)
		}
	}
	call.live = append(call.live[:0], attempt)
}

// deliver passes a chunk to the caller if it continues the answer. A gap or
// mismatch in the stream ends the attempt.
func (call *call) deliver(attempt *attempt, chunk Chunk, generationTime time.Duration) error {
	accepted, err := call.answer.Accept(attempt.number, chunk)
	switch kind := fault.KindOf[stream.Kind](err); kind {
	case "":
	case stream.Gap, stream.Mismatch:
		call.cell.log(event.CellAnswerBroken(), attempt.chunkFields(chunk, kind))
		return call.cancelAttempt(attempt, fault.Wrap("cell.Serve", Broken, err))
	default:
		call.cell.log(event.CellFrameDropped(), attempt.chunkFields(chunk, kind))
		return nil
	}
	call.run = Ran
	call.cell.recordProgress(attempt, accepted, generationTime)
	if err := call.emit(accepted); err != nil {
		call.cell.addWasted(call, accepted.Tokens)
		return fault.Wrap("cell.Serve", Gone, err)
	}
	call.outcome.Tokens += accepted.Tokens
	now := time.Now()
	attempt.extendStallLimit(now)
	if finish, ended := call.answer.FinishReason(); ended && call.finishedAt.IsZero() {
		call.outcome.Finish = finish
		call.finishedAt = now
	}
	return nil
}

// contextError returns the error of a call whose context has ended.
func (call *call) contextError() error {
	err := call.ctx.Err()
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap("cell.Serve", Expired, err)
	}
	return fault.Wrap("cell.Serve", Gone, err)
}

// finish releases everything the call holds and completes its outcome.
func (call *call) finish(err error) {
	call.cancel()
	call.timer.Stop()
	cell := call.cell
	cell.mutex.Lock()
	cell.removeCall(call)
	if len(call.live) > 0 && call.run == NotRun {
		call.run = RunUnknown
	}
	call.outcome.Run = call.run
	call.outcome.Wasted = call.wastedTokens + call.answer.Wasted()
	cell.recordOutcome(call, err)
	cell.mutex.Unlock()
	call.clearSuspicion(err)
}

// recordOutcome updates the statistics and estimates at the end of a call. The
// caller must hold the mutex.
func (cell *Cell) recordOutcome(call *call, err error) {
	cell.stats.Tokens += call.outcome.Tokens
	cell.stats.Wasted += call.answer.Wasted()
	switch {
	case err == nil:
		cell.stats.Completed++
		cell.retries.Deposit()
		cell.lengths.Observe(call.request.Class, call.answer.Tokens())
		// The estimate for a class without answers is derived from the other
		// classes, so the cached medians of all classes are invalid now.
		clear(cell.medianLengths)
		cell.completed.add(call.request.Fingerprint)
	case fault.Is(err, Unknown):
		cell.stats.Unknown++
		cell.log(event.CellUnknown(), logrus.Fields{
			"request_id": call.request.ID, "server": call.outcome.Server, "tokens": call.outcome.Tokens, "cause": err.Error(),
		})
	}
}

// addWasted counts tokens that were generated for a call but not delivered.
func (cell *Cell) addWasted(call *call, tokens int) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call.wastedTokens += tokens
	cell.stats.Wasted += tokens
}
