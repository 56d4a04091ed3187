package cell

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/fault"
	"primrosegw/core/poison"
	"primrosegw/core/stream"
)

// attempt is one run of a call on one backend server. It holds a slot from its
// grant until the backend returns.
type attempt struct {
	call    *call
	server  *server
	backend Backend
	version string
	// serial orders the attempts of the cell, number those of the call.
	serial uint64
	number int
	// alone: the call is a suspect, and the server runs nothing else.
	alone  bool
	hedge  bool
	ctx    context.Context
	cancel context.CancelCauseFunc
	// offset counts the tokens of the answer before the attempt.
	offset int
	// dispatched is when the slot was given.
	dispatched time.Time

	// The fields below belong to the goroutine of Serve.
	held     []Chunk
	streamed bool
	stallAt  time.Time
	hedgeAt  time.Time
	gapLimit time.Duration

	// idle belongs to the attempt's goroutine: the instant since which the
	// backend has not been kept waiting by the caller.
	idle time.Time

	// The fields below are guarded by the cell's mutex.
	tokens int
	cost   float64
	// forecast is the expected length of the answer, in tokens; forecastAt the
	// length at which it is made again.
	forecast   float64
	forecastAt int
	yielding   bool
	freed      bool
	// reliefFor is the call for which the attempt was preempted.
	reliefFor *call
	// crash is the id of the server's loss that ended the attempt, 0 if none did.
	crash uint64
}

// message is what an attempt tells its call: a piece of the answer or its end.
type message struct {
	attempt *attempt
	chunk   Chunk
	// gap is the time that the backend took for the piece.
	gap time.Duration
	end bool
	err error
}

// newAttempt gives a call a slot. The mutex is held.
func (cell *Cell) newAttempt(call *call, server *server, now time.Time) *attempt {
	cell.sequence++
	call.attempts++
	attempt := &attempt{
		call: call, server: server, backend: server.Backend, version: server.Version,
		serial: cell.sequence, number: call.attempts, offset: call.answer.Tokens(), dispatched: now, idle: now,
	}
	attempt.ctx, attempt.cancel = context.WithCancelCause(call.ctx)
	cell.foresee(attempt)
	server.attempts = append(server.attempts, attempt)
	if call.request.Fingerprint != 0 {
		cell.copies[call.request.Fingerprint]++
	}
	for _, prefix := range call.request.Prefixes {
		server.cached.add(prefix)
	}
	cell.stats.Dispatched++
	return attempt
}

// start runs an attempt that got a slot.
func (call *call) start(attempt *attempt) {
	call.outcome.Attempts++
	call.outcome.Server = attempt.server.Name
	call.live = append(call.live, attempt)
	call.cell.limit(attempt)
	value := Call{
		Request: call.request, Attempt: attempt.number, Version: attempt.version,
		ResumeTokens: call.answer.Tokens(), ResumeText: call.answer.Text(),
	}
	go attempt.generate(value)
}

// generate runs the backend and tells the call how it ended.
func (attempt *attempt) generate(value Call) {
	err := attempt.backend.Generate(attempt.ctx, value, attempt.take)
	attempt.call.cell.returned(attempt, err)
	select {
	case attempt.call.messages <- message{attempt: attempt, end: true, err: err}:
	case <-attempt.call.ctx.Done():
	}
}

// take passes a piece on to the call. It blocks while the caller is slow.
func (attempt *attempt) take(chunk Chunk) error {
	message := message{attempt: attempt, chunk: chunk, gap: time.Since(attempt.idle)}
	if attempt.ctx.Err() == nil {
		select {
		case attempt.call.messages <- message:
			attempt.idle = time.Now()
			return nil
		case <-attempt.ctx.Done():
		}
	}
	attempt.call.cell.lose(attempt.call, chunk.Tokens)
	return context.Cause(attempt.ctx)
}

// limit sets the instants at which an attempt counts as stalled and is hedged.
func (cell *Cell) limit(attempt *attempt) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call := attempt.call
	attempt.gapLimit = cell.health.GapLimit()
	if !cell.options.Switches.DisableStall {
		attempt.stallAt = attempt.dispatched.Add(cell.health.FirstTokenLimit(call.stalls))
	}
	if delay, allowed := cell.hedgeDelay(attempt); allowed {
		attempt.hedgeAt = attempt.dispatched.Add(delay)
	}
}

// progressed puts the stall off. The time that the caller took for the piece
// does not count.
func (attempt *attempt) progressed(now time.Time) {
	attempt.streamed = true
	if !attempt.stallAt.IsZero() {
		attempt.stallAt = now.Add(attempt.gapLimit)
	}
}

// progress records a delivered piece in the estimates.
func (cell *Cell) progress(attempt *attempt, piece Chunk, gap time.Duration) {
	if piece.Tokens == 0 {
		return
	}
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	request := &attempt.call.request
	name := attempt.server.Name
	if attempt.tokens == 0 {
		cell.health.ObserveFirstToken(name, time.Since(attempt.dispatched))
	} else {
		cell.health.ObserveGap(name, gap, piece.Tokens)
		attempt.gapLimit = cell.health.GapLimit()
	}
	attempt.tokens += piece.Tokens
	cell.foresee(attempt)
	cell.queue.Charge(request.Class, request.Workspace, piece.Tokens)
}

// returned records how a backend's run ended and gives its slot back. It comes
// before the next dispatch, so that a server that has just died or refused gets
// nothing more.
func (cell *Cell) returned(attempt *attempt, err error) {
	announce := cell.record(attempt, err)
	if len(announce) > 0 {
		cell.options.Announce(announce)
	}
}

func (cell *Cell) record(attempt *attempt, err error) []poison.Record {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cancelled := attempt.ctx.Err() != nil
	var announce []poison.Record
	switch kind := fault.KindOf[Kind](err); {
	case kind == Crashed, kind == Broken && attempt.alone && !cancelled:
		// A suspect that runs alone is held to have crashed a server that cannot
		// be told from a dead one: the other way round it might cost a third.
		cell.health.ObserveFailure(attempt.server.Name)
		announce = cell.crashed(attempt)
	case kind == Broken && !cancelled:
		cell.health.ObserveFailure(attempt.server.Name)
	case kind == Refused:
		cell.stats.Refused++
		cell.health.ObserveRefusal(attempt.server.Name)
	}
	cell.drop(attempt)
	cell.granted = 0
	cell.dispatch()
	cell.wakeRelieved(attempt, cell.granted)
	return announce
}

// drop takes an attempt off its server. The mutex is held.
func (cell *Cell) drop(attempt *attempt) {
	if !attempt.server.free(attempt) {
		return
	}
	attempt.freed = true
	attempt.cancel(nil)
	call := attempt.call
	if attempt.alone {
		attempt.server.alone = nil
	}
	if fingerprint := call.request.Fingerprint; fingerprint != 0 {
		cell.copies[fingerprint]--
		if cell.copies[fingerprint] == 0 {
			delete(cell.copies, fingerprint)
		}
	}
	if unused := attempt.cost - float64(attempt.tokens); attempt.cost > 0 && unused > 0 {
		cell.queue.ReleaseReservation(call.request.Class, call.request.Workspace, unused)
	}
}

// fields are the log fields that identify an attempt.
func (attempt *attempt) fields() logrus.Fields {
	request := &attempt.call.request
	return logrus.Fields{
		"request_id": request.ID, "class": request.Class, "tier": request.Tier,
		"server": attempt.server.Name, "attempt": attempt.number,
	}
}

// pieceFields are the log fields of a piece that was not delivered.
func (attempt *attempt) pieceFields(chunk Chunk, kind stream.Kind) logrus.Fields {
	fields := attempt.fields()
	fields["why"] = string(kind)
	fields["offset"] = chunk.Offset
	fields["tokens"] = chunk.Tokens
	fields["of_request"] = chunk.Request
	fields["of_attempt"] = chunk.Attempt
	return fields
}
