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

// Reasons for which the cell cancels an attempt; the call goes on.
var (
	errPreempted = errors.New("preempted for work of a higher tier")
	errWithdrawn = errors.New("withdrawn: the request became a suspect")
	errOutrun    = errors.New("the other attempt gave the first token")
)

// call is one request from Serve to its outcome. Its fields belong to the
// goroutine of Serve, but for those marked as guarded by the cell's mutex.
type call struct {
	cell    *Cell
	id      string
	request Request
	emit    func(Chunk) error
	ctx     context.Context
	cancel  context.CancelFunc
	entered time.Time

	// grants receives what the cell decided about the queued call. A call is
	// queued at most once at a time, so one place is enough.
	grants   chan grant
	messages chan message
	// wake says that the slot asked for went to another call.
	wake  chan struct{}
	timer *time.Timer

	answer *stream.Stream
	// live are the attempts whose pieces are accepted: two during a hedge.
	live []*attempt
	// winner is the live attempt that has given a token.
	winner   *attempt
	run      Run
	outcome  Outcome
	complete bool
	finished time.Time

	retries int
	// stalls counts attempts that stalled before their first token.
	stalls  int
	hedged  bool
	claimed bool
	// cause is the end of the last attempt that broke.
	cause error
	// retryAt is when the call goes back to the queue; zero: it does not wait.
	retryAt time.Time
	// relieveAt is when a slot is asked for, lateAt when a queued call that has
	// missed its target is admitted again or shed; zero: not set.
	relieveAt time.Time
	lateAt    time.Time

	// The fields below are guarded by the cell's mutex.
	queued    bool
	suspected bool
	enqueued  time.Time
	cost      float64
	avoid     *server
	relief    *attempt
	// evicted is when the call last took the place of another suspect.
	evicted     time.Time
	preemptions int
	attempts    int
	lost        int
}

// grant is what the cell decided about a queued call: a slot, an error, or that
// the call has to be looked at again.
type grant struct {
	attempt *attempt
	err     error
	retry   time.Duration
}

// Serve runs a request on a backend server and hands each piece of the answer
// to emit, in order. Serve calls emit from its own goroutine and never after
// it has returned; while emit blocks, no other piece is taken. The outcome is
// valid with an error too; its Run is true. The errors are of kinds Rejected,
// Shed, Expired, Gone, Poison, Closed and Unknown, and Refused when no server
// took the call.
func (cell *Cell) Serve(ctx context.Context, request Request, emit func(Chunk) error) (Outcome, error) {
	call := cell.newCall(ctx, request, emit)
	err := call.serve()
	call.leave(err)
	return call.outcome, err
}

// newCall returns a call that is not queued yet.
func (cell *Cell) newCall(ctx context.Context, request Request, emit func(Chunk) error) *call {
	now := time.Now()
	call := &call{
		cell: cell, request: request, emit: emit, run: NotRun, entered: now,
		grants: make(chan grant, 1), messages: make(chan message), wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour),
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
	cell.present[request.Class] = now
	cell.stats.Calls++
	return call
}

// fresh reports whether no engine has run the call: only such a call may be
// shed or handed back.
func (call *call) fresh() bool { return call.run == NotRun }

// serve drives the call to its end.
func (call *call) serve() error {
	if call.ctx.Err() != nil {
		return call.gone()
	}
	if err := call.enter(); err != nil {
		return err
	}
	for !call.complete {
		if err := call.step(); err != nil {
			return err
		}
	}
	return nil
}

// step waits for the next thing that happens to the call and handles it.
func (call *call) step() error {
	call.timer.Reset(time.Until(call.next()))
	select {
	case grant := <-call.grants:
		return call.granted(grant)
	case message := <-call.messages:
		if message.end {
			return call.ended(message.attempt, message.err)
		}
		return call.received(message)
	case <-call.timer.C:
		return call.tick(time.Now())
	case <-call.wake:
		call.relieve(time.Now())
		return nil
	case <-call.ctx.Done():
		if call.isFinished() {
			call.complete = true
			return nil
		}
		return call.gone()
	}
}

// next returns the next instant at which the call has something to do.
func (call *call) next() time.Time {
	next := time.Now().Add(time.Hour)
	sooner := func(instant time.Time) {
		if !instant.IsZero() && instant.Before(next) {
			next = instant
		}
	}
	sooner(call.retryAt)
	sooner(call.relieveAt)
	sooner(call.lateAt)
	if call.isFinished() {
		sooner(call.finished.Add(finishGrace))
		return next
	}
	for _, attempt := range call.live {
		sooner(attempt.stallAt)
		sooner(attempt.hedgeAt)
	}
	return next
}

// tick does what is due.
func (call *call) tick(now time.Time) error {
	if call.isFinished() {
		call.complete = !now.Before(call.finished.Add(finishGrace))
		return nil
	}
	if due(call.retryAt, now) {
		call.retryAt = time.Time{}
		return call.again(now)
	}
	if due(call.relieveAt, now) {
		call.relieveAt = time.Time{}
		call.relieve(now)
	}
	if due(call.lateAt, now) {
		call.lateAt = time.Time{}
		if err := call.late(now); err != nil {
			return err
		}
	}
	for _, attempt := range slices.Clone(call.live) {
		if due(attempt.hedgeAt, now) {
			attempt.hedgeAt = time.Time{}
			call.hedge(attempt, now)
		}
		if due(attempt.stallAt, now) {
			if err := call.stalled(attempt, now); err != nil {
				return err
			}
		}
	}
	return nil
}

// due reports whether an instant is set and has come.
func due(instant, now time.Time) bool { return !instant.IsZero() && !now.Before(instant) }

// isFinished reports whether the caller has the whole answer.
func (call *call) isFinished() bool { return !call.finished.IsZero() }

// received takes a piece of the answer.
func (call *call) received(message message) error {
	attempt, chunk := message.attempt, message.chunk
	if !slices.Contains(call.live, attempt) {
		call.cell.lose(call, chunk.Tokens)
		return nil
	}
	if call.foreign(attempt, chunk) {
		call.cell.lose(call, chunk.Tokens)
		call.cell.log(event.CellFrameDropped(), attempt.pieceFields(chunk, stream.WrongRequest))
		return nil
	}
	if call.winner == nil {
		if chunk.Tokens == 0 && chunk.FinishReason == "" {
			// An opening record says nothing about which attempt is faster.
			attempt.held = append(attempt.held, chunk)
			return nil
		}
		call.win(attempt)
		for _, held := range attempt.held {
			if err := call.deliver(attempt, held, 0); err != nil {
				return err
			}
		}
	}
	return call.deliver(attempt, chunk, message.gap)
}

// foreign reports whether a piece names another request or attempt than the
// stream on which it came.
func (call *call) foreign(attempt *attempt, chunk Chunk) bool {
	return chunk.Request != "" && chunk.Request != call.request.ID ||
		chunk.Attempt != 0 && chunk.Attempt != attempt.number
}

// win makes an attempt the one whose tokens count, and cancels the other.
func (call *call) win(attempt *attempt) {
	call.winner = attempt
	call.answer.BeginAttempt(attempt.number)
	attempt.hedgeAt = time.Time{}
	for _, other := range call.live {
		if other != attempt {
			call.cell.outrun(attempt, other)
			other.cancel(errOutrun)
		}
	}
	call.live = append(call.live[:0], attempt)
}

// deliver hands a piece to the caller if it continues the answer.
func (call *call) deliver(attempt *attempt, chunk Chunk, gap time.Duration) error {
	piece, err := call.answer.Accept(attempt.number, chunk)
	switch kind := fault.KindOf[stream.Kind](err); kind {
	case "":
	case stream.Gap, stream.Mismatch:
		call.cell.log(event.CellAnswerBroken(), attempt.pieceFields(chunk, kind))
		return call.detach(attempt, fault.Wrap("cell.Serve", Broken, err))
	default:
		call.cell.log(event.CellFrameDropped(), attempt.pieceFields(chunk, kind))
		return nil
	}
	call.run = Ran
	call.cell.progress(attempt, piece, gap)
	if err := call.emit(piece); err != nil {
		call.cell.lose(call, piece.Tokens)
		return fault.Wrap("cell.Serve", Gone, err)
	}
	call.outcome.Tokens += piece.Tokens
	now := time.Now()
	attempt.progressed(now)
	if finish, finished := call.answer.FinishReason(); finished && call.finished.IsZero() {
		call.outcome.Finish = finish
		call.finished = now
	}
	return nil
}

// gone returns the error of a call whose context ended.
func (call *call) gone() error {
	err := call.ctx.Err()
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap("cell.Serve", Expired, err)
	}
	return fault.Wrap("cell.Serve", Gone, err)
}

// leave frees all that the call holds and completes its outcome.
func (call *call) leave(err error) {
	call.cancel()
	call.timer.Stop()
	cell := call.cell
	cell.mutex.Lock()
	cell.forget(call)
	if len(call.live) > 0 && call.run == NotRun {
		call.run = RunUnknown
	}
	call.outcome.Run = call.run
	call.outcome.Wasted = call.lost + call.answer.Wasted()
	cell.settle(call, err)
	cell.mutex.Unlock()
	call.release(err)
}

// settle counts the end of a call. The mutex is held.
func (cell *Cell) settle(call *call, err error) {
	cell.stats.Tokens += call.outcome.Tokens
	cell.stats.Wasted += call.answer.Wasted()
	switch {
	case err == nil:
		cell.stats.Completed++
		cell.retries.Deposit()
		cell.lengths.Observe(call.request.Class, call.answer.Tokens())
		// The estimate of a class without answers rests on those of the others.
		clear(cell.medians)
		cell.proven.add(call.request.Fingerprint)
	case fault.Is(err, Unknown):
		cell.stats.Unknown++
		cell.log(event.CellUnknown(), logrus.Fields{
			"request_id": call.request.ID, "server": call.outcome.Server, "tokens": call.outcome.Tokens, "cause": err.Error(),
		})
	}
}

// lose counts tokens that were generated for a call and not delivered.
func (cell *Cell) lose(call *call, tokens int) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call.lost += tokens
	cell.stats.Wasted += tokens
}
