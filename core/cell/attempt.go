package cell

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/fault"
	"primrosegw/core/poison"
	"primrosegw/core/stream"
)

// attempt is one run of a call on one backend server. It occupies a slot from
// dispatch until the backend returns.
type attempt struct {
	call    *call
	server  *server
	backend Backend
	version string
	// serial is unique and increasing within the cell, number within the call.
	serial uint64
	number int
	// isolated is set if the call is a suspect and the server runs nothing else.
	isolated bool
	hedge    bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// resumeOffset is the number of answer tokens delivered before this attempt.
	resumeOffset int
	// dispatched is when the slot was assigned.
	dispatched time.Time

	// Only the goroutine that runs Serve accesses the fields below.
	heldChunks []Chunk
	streamed   bool
	stallAt    time.Time
	hedgeAt    time.Time
	gapLimit   time.Duration

	// idleSince is when the previous chunk was handed over, or the time of
	// dispatch. Time that the backend spent blocked on a slow caller is thereby
	// not counted as generation time. Only the attempt's goroutine accesses it.
	idleSince time.Time

	// The fields below are guarded by the cell's mutex.
	tokens int
	cost   float64
	// expectedLength is the estimated length of the answer in tokens. It is
	// estimated again when the answer reaches nextEstimateAt tokens.
	expectedLength float64
	nextEstimateAt int
	cancelling     bool
	slotReleased   bool
	// preemptedFor is the call for which the attempt was preempted.
	preemptedFor *call
	// crashID identifies the server crash that ended the attempt; 0 if none did.
	crashID uint64
}

// message carries a chunk of an attempt, or its end, to its call.
type message struct {
	attempt *attempt
	chunk   Chunk
	// generationTime is the time the backend took to generate the chunk.
	generationTime time.Duration
	end            bool
	err            error
}

// newAttempt assigns a slot of a server to a call. The caller must hold the
// mutex.
func (cell *Cell) newAttempt(call *call, server *server, now time.Time) *attempt {
	cell.sequence++
	call.attempts++
	attempt := &attempt{
		call: call, server: server, backend: server.Backend, version: server.Version,
		serial: cell.sequence, number: call.attempts, resumeOffset: call.answer.Tokens(), dispatched: now, idleSince: now,
	}
	attempt.ctx, attempt.cancel = context.WithCancelCause(call.ctx)
	cell.estimateLength(attempt)
	server.attempts = append(server.attempts, attempt)
	if call.request.Fingerprint != 0 {
		cell.attemptsByFingerprint[call.request.Fingerprint]++
	}
	for _, prefix := range call.request.Prefixes {
		server.cachedPrefixes.add(prefix)
	}
	cell.stats.Dispatched++
	return attempt
}

// startAttempt starts the backend for an attempt that was assigned a slot.
func (call *call) startAttempt(attempt *attempt) {
	call.outcome.Attempts++
	call.outcome.Server = attempt.server.Name
	call.live = append(call.live, attempt)
	call.cell.setTimers(attempt)
	backendCall := Call{
		Request: call.request, Attempt: attempt.number, Version: attempt.version,
		ResumeTokens: call.answer.Tokens(), ResumeText: call.answer.Text(),
	}
	go attempt.run(backendCall)
}

// run calls the backend and reports its result to the call.
func (attempt *attempt) run(backendCall Call) {
	err := attempt.backend.Generate(attempt.ctx, backendCall, attempt.forwardChunk)
	attempt.call.cell.backendReturned(attempt, err)
	select {
	case attempt.call.messages <- message{attempt: attempt, end: true, err: err}:
	case <-attempt.call.ctx.Done():
	}
}

// forwardChunk sends a chunk to the call. It blocks while the caller is slow.
func (attempt *attempt) forwardChunk(chunk Chunk) error {
	message := message{attempt: attempt, chunk: chunk, generationTime: time.Since(attempt.idleSince)}
	if attempt.ctx.Err() == nil {
		select {
		case attempt.call.messages <- message:
			attempt.idleSince = time.Now()
			return nil
		case <-attempt.ctx.Done():
		}
	}
	attempt.call.cell.addWasted(attempt.call, chunk.Tokens)
	return context.Cause(attempt.ctx)
}

// setTimers sets when an attempt counts as stalled and when it is hedged.
func (cell *Cell) setTimers(attempt *attempt) {
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

// extendStallLimit restarts the stall timer after a chunk was delivered, so
// that the time the caller took for the chunk does not count as a stall.
func (attempt *attempt) extendStallLimit(now time.Time) {
	attempt.streamed = true
	if !attempt.stallAt.IsZero() {
		attempt.stallAt = now.Add(attempt.gapLimit)
	}
}

// recordProgress updates the health and length estimates and the token
// accounting of the queue with a delivered chunk.
func (cell *Cell) recordProgress(attempt *attempt, chunk Chunk, generationTime time.Duration) {
	if chunk.Tokens == 0 {
		return
	}
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	request := &attempt.call.request
	name := attempt.server.Name
	if attempt.tokens == 0 {
		cell.health.ObserveFirstToken(name, time.Since(attempt.dispatched))
	} else {
		cell.health.ObserveGap(name, generationTime, chunk.Tokens)
		attempt.gapLimit = cell.health.GapLimit()
	}
	attempt.tokens += chunk.Tokens
	cell.estimateLength(attempt)
	cell.queue.Charge(request.Class, request.Workspace, chunk.Tokens)
}

// backendReturned records the result of a backend run, frees its slot and
// announces new crash records. The result is recorded before the next dispatch,
// so that a server that just crashed or refused a call gets no more work.
func (cell *Cell) backendReturned(attempt *attempt, err error) {
	records := cell.recordAttemptEnd(attempt, err)
	if len(records) > 0 {
		cell.options.Announce(records)
	}
}

// recordAttemptEnd updates server health, frees the slot and dispatches queued
// calls. It returns new crash records to announce.
func (cell *Cell) recordAttemptEnd(attempt *attempt, err error) []poison.Record {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cancelled := attempt.ctx.Err() != nil
	var records []poison.Record
	switch kind := fault.KindOf[Kind](err); {
	case kind == Crashed, kind == Broken && attempt.isolated && !cancelled:
		// A broken connection may or may not be a crash. If the call is an isolated
		// suspect it counts as a crash, otherwise the request might be run again and
		// crash a third server.
		cell.health.ObserveFailure(attempt.server.Name)
		records = cell.recordCrash(attempt)
	case kind == Broken && !cancelled:
		cell.health.ObserveFailure(attempt.server.Name)
	case kind == Refused, kind == TurnedAway:
		cell.stats.Refused++
		cell.health.ObserveRefusal(attempt.server.Name)
	}
	cell.releaseSlot(attempt)
	cell.lastGrantedTier = 0
	cell.dispatch()
	cell.wakePreemptor(attempt, cell.lastGrantedTier)
	return records
}

// releaseSlot removes an attempt from its server and returns the unused part of
// its cost to the queue. The caller must hold the mutex.
func (cell *Cell) releaseSlot(attempt *attempt) {
	if !attempt.server.removeAttempt(attempt) {
		return
	}
	attempt.slotReleased = true
	attempt.cancel(nil)
	call := attempt.call
	if attempt.isolated {
		attempt.server.reservedFor = nil
	}
	if fingerprint := call.request.Fingerprint; fingerprint != 0 {
		cell.attemptsByFingerprint[fingerprint]--
		if cell.attemptsByFingerprint[fingerprint] == 0 {
			delete(cell.attemptsByFingerprint, fingerprint)
		}
	}
	if unused := attempt.cost - float64(attempt.tokens); attempt.cost > 0 && unused > 0 {
		cell.queue.ReleaseReservation(call.request.Class, call.request.Workspace, unused)
	}
}

// fields returns the log fields that identify an attempt.
func (attempt *attempt) fields() logrus.Fields {
	request := &attempt.call.request
	return logrus.Fields{
		"request_id": request.ID, "class": request.Class, "tier": request.Tier,
		"server": attempt.server.Name, "attempt": attempt.number,
	}
}

// chunkFields returns the log fields of a chunk that was not delivered.
func (attempt *attempt) chunkFields(chunk Chunk, kind stream.Kind) logrus.Fields {
	fields := attempt.fields()
	fields["why"] = string(kind)
	fields["offset"] = chunk.Offset
	fields["tokens"] = chunk.Tokens
	fields["of_request"] = chunk.Request
	fields["of_attempt"] = chunk.Attempt
	return fields
}
