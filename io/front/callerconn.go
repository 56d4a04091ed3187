package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/io/meter"
)

// Reasons for which the host closes a caller's connection. Those of requests are outcomes of theirs, too.
const (
	// requestStop: the host stops within a request.
	requestStop = "request_stop"
	// requestDropped: a whole head was read while the host stops, and no handler ran.
	requestDropped = "request_dropped"
	// requestPanic: the handling failed with a panic.
	requestPanic = "request_panic"
	// requestBroken: a response that had started could not be completed.
	requestBroken = "request_broken"
	// requestWriteDeadline: the caller took the response too slowly.
	requestWriteDeadline = "request_write_deadline"
	// requestNext: the connection ends after a response, and a part of the next request had arrived.
	requestNext = "request_next"
	// headMemory: the head of a request does not fit into memory; the caller gets 503.
	headMemory = "head_memory"
	// headInvalid: net/http answers the head of a request by itself, nearly always with an error.
	headInvalid = "head_invalid"
	// headDeadline and headStop: a part of a head was read.
	headDeadline = "head_deadline"
	headStop     = "head_stop"
	// idleLimit and idleStop: nothing of a request was read.
	idleLimit = "idle_limit"
	idleStop  = "idle_stop"
)

// connPhase is what happens on a caller's connection.
type connPhase int

const (
	// readingHead: a head is awaited or read.
	readingHead connPhase = iota
	// handlingRequest: a handler runs.
	handlingRequest
	// endingResponse: it has returned, and net/http sends the rest of the response.
	endingResponse
)

// callerConn follows a caller's connection, to tell why the host closes it. A nil one follows nothing.
type callerConn struct {
	handler  *Handler
	openedAt time.Time

	mutex sync.Mutex
	phase connPhase
	// idleSince is when the connection was opened or the last response ended, and firstByteAt when the first
	// byte of a head was read; zero if none was.
	idleSince, firstByteAt time.Time
	// headBytes are the bytes of the head, or those of the next request that have arrived during one.
	headBytes int64
	// headEnded: net/http has read a head or failed to. isTimedOut: the time for the head or the idle limit has
	// passed. hasCallerEnded: the caller has closed the connection, which may show in a write. isRefused: the head does not fit into memory.
	// isAnswered: net/http has answered the head.
	headEnded, isTimedOut, hasCallerEnded, isRefused, isAnswered bool
	// isWhole: the request was read with its body.
	isWhole bool
	// isWriteExpired: the write deadline has passed.
	isWriteExpired bool
	closed         bool
	requestID      string
	// receivedAt is when the handler got the request.
	receivedAt time.Time
	// outcome is that of the request; empty: it has none yet.
	outcome string
}

// Watch makes the handler log and count the connections that the host closes before a caller has its answer.
func (heads *Heads) Watch(handler *Handler) *Heads {
	heads.handler = handler
	return heads
}

// newCallerConn returns the callerConn of a connection that was opened now; nil if they are not watched.
func (heads *Heads) newCallerConn() *callerConn {
	if heads.handler == nil {
		return nil
	}
	now := time.Now()
	return &callerConn{handler: heads.handler, openedAt: now, idleSince: now}
}

type callerConnKey struct{}

// withCallerConn makes a connection's callerConn known to the handlers of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	if head, ok := conn.(*headConn); ok && head.caller != nil {
		return context.WithValue(ctx, callerConnKey{}, head.caller)
	}
	return ctx
}

// callerConnOf returns the callerConn of a request's connection; nil if it is not watched.
func callerConnOf(request *http.Request) *callerConn {
	conn, _ := request.Context().Value(callerConnKey{}).(*callerConn)
	return conn
}

// Write implements net.Conn.
func (conn *headConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.caller.recordWrite(err)
	return count, err
}

// recordRead records the end of a read.
func (conn *callerConn) recordRead(count int, err error) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case conn.phase == readingHead && !conn.headEnded:
		if count > 0 && conn.headBytes == 0 {
			conn.firstByteAt = time.Now()
		}
		conn.headBytes += int64(count)
		if err != nil && !conn.closed {
			conn.isTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
			conn.hasCallerEnded = !conn.isTimedOut
		}
	case conn.phase != readingHead && conn.isWhole:
		conn.headBytes += int64(count)
	}
}

// recordWrite records the end of a write. What is written while no handler has run is an answer of net/http.
func (conn *callerConn) recordWrite(err error) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if err != nil && !conn.closed {
		// net/http closes the connection after this, within the handler if the response has chunks.
		conn.isWriteExpired = errors.Is(err, os.ErrDeadlineExceeded)
		conn.hasCallerEnded = !conn.isWriteExpired
	}
	if conn.phase != readingHead || conn.isAnswered || conn.isRefused || conn.hasCallerEnded {
		return
	}
	conn.isAnswered = true
	conn.handler.countHead(headInvalid)
}

// recordRefusedHead records that the head does not fit into memory and was answered with 503.
func (conn *callerConn) recordRefusedHead() {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.isRefused = true
	conn.handler.countHead(headMemory)
}

// recordHeadEnd records that net/http has read a head, or has failed to.
func (conn *callerConn) recordHeadEnd() {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.headEnded = true
}

// recordIdle records that the next head is awaited.
func (conn *callerConn) recordIdle() {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	now := time.Now()
	conn.phase, conn.idleSince, conn.firstByteAt, conn.headEnded = readingHead, now, time.Time{}, false
	if conn.headBytes > 0 {
		conn.firstByteAt = now
	}
	conn.requestID, conn.outcome, conn.isWhole = "", "", false
}

// beginRequest records that a handler got the request.
func (conn *callerConn) beginRequest(now time.Time) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.phase, conn.receivedAt, conn.headBytes = handlingRequest, now, 0
}

// nameRequest records the ID of the request.
func (conn *callerConn) nameRequest(id string) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.requestID = id
}

// recordWhole records that the request was read with its body.
func (conn *callerConn) recordWhole() {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.isWhole = true
}

// endRequest records that the handler has returned, with the outcome of the request.
func (conn *callerConn) endRequest(outcome string) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.phase, conn.outcome = endingResponse, outcome
}

// hostReason returns why the host has closed the connection within the request, or has ended its writes; empty
// if it has not.
func (conn *callerConn) hostReason() string {
	if conn == nil {
		return ""
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case conn.isWriteExpired:
		return requestWriteDeadline
	case conn.closed && !conn.hasCallerEnded:
		return requestStop
	}
	return ""
}

// recordClosed counts that the host closes the connection, and logs it if something of a request was read. It
// does nothing if the caller has left or has its answer.
func (conn *callerConn) recordClosed() {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	reason, fields := "", logrus.Fields(nil)
	if !conn.closed {
		reason = conn.closingReason()
		fields = conn.describe(reason, time.Now())
	}
	conn.closed = true
	conn.mutex.Unlock()
	if reason == "" {
		return
	}
	options := conn.handler.options
	options.Meter.AddToCounter("caller_connections_closed", "reason", reason, 1)
	switch reason {
	case idleLimit, idleStop:
	case headMemory, headDeadline, headStop:
		options.Logger.Log(event.HeadCut(), fields)
	case requestDropped:
		conn.handler.countHead(requestDropped)
		options.Logger.Log(event.RequestCut(), fields)
	default:
		options.Logger.Log(event.RequestCut(), fields)
	}
}

// closingReason returns why the connection is closed now; empty if the caller has closed it or has its answer.
// The caller holds the mutex.
func (conn *callerConn) closingReason() string {
	switch {
	case conn.phase != readingHead && conn.isWriteExpired:
		return requestWriteDeadline
	case conn.phase != readingHead && conn.hasCallerEnded:
		return ""
	case conn.phase == handlingRequest:
		return requestStop
	case conn.phase == endingResponse:
		return conn.endingReason()
	case conn.isRefused:
		return headMemory
	case conn.isAnswered || conn.hasCallerEnded:
		return ""
	case conn.headBytes == 0 && conn.isTimedOut:
		return idleLimit
	case conn.headBytes == 0:
		return idleStop
	case conn.isTimedOut:
		return headDeadline
	case conn.headEnded:
		return requestDropped
	}
	return headStop
}

// endingReason returns why the connection is closed after a handler has returned; empty if the caller has closed
// it or has its answer. The caller holds the mutex.
func (conn *callerConn) endingReason() string {
	switch {
	case conn.outcome == requestPanic:
		return requestPanic
	case conn.outcome == outcomeBroken:
		return requestBroken
	case conn.outcome != outcomeCallerLeft && conn.headBytes > 0:
		return requestNext
	}
	return ""
}

// describe returns the fields of the line on the closing. The caller holds the mutex.
func (conn *callerConn) describe(reason string, now time.Time) logrus.Fields {
	idleUntil := now
	if !conn.firstByteAt.IsZero() {
		idleUntil = conn.firstByteAt
	}
	fields := logrus.Fields{
		"reason": reason, "bytes_read": conn.headBytes, "connection_age_ms": now.Sub(conn.openedAt).Milliseconds(),
		"draining_ms": conn.handler.drainingMs(now),
	}
	if current := conn.handler.options.Table; current.Load() != nil {
		fields["table_version"], fields["table_age_ms"] = current.Load().Version, now.Sub(current.AdoptedAt()).Milliseconds()
	}
	if conn.phase == readingHead {
		fields["idle_ms"], fields["head_ms"] = idleUntil.Sub(conn.idleSince).Milliseconds(), now.Sub(idleUntil).Milliseconds()
		return fields
	}
	fields["request_id"], fields["is_whole"], fields["outcome"] = conn.requestID, conn.isWhole, conn.outcome
	fields["after_ms"] = now.Sub(conn.receivedAt).Milliseconds()
	return fields
}

// The outcomes of requests that are neither a status nor the reason for a refusal or a closing.
const (
	outcomeBroken     = "broken"
	outcomeCallerLeft = "caller_left"
	// outcomeNone is that of a handler that returns without one, which is a fault of the program.
	outcomeNone = "none"
)

// countHead counts a request that no handler gets as read and as ended.
func (handler *Handler) countHead(outcome string) {
	handler.options.Meter.AddToCounter("requests_read", "by", "head", 1)
	handler.options.Meter.RecordForward(meter.ForwardResult{Outcome: outcome})
}

// begin counts the request as read.
func (call *call) begin() {
	call.conn = callerConnOf(call.request)
	call.conn.beginRequest(call.work.Received)
	call.handler.options.Meter.AddToCounter("requests_read", "by", "handler", 1)
}

// end makes sure that the request has an outcome when its handler returns or panics.
func (call *call) end() {
	if !call.hasReturned {
		call.recordOutcome(requestPanic, 0)
	}
	call.recordOutcome(outcomeNone, 0)
	call.conn.endRequest(call.outcome)
}

// abandonOwn ends a request whose connection this host has closed, or has given up writing to. It reports false
// if the caller has left. request_cut is logged when the connection is closed.
func (call *call) abandonOwn() bool {
	reason := call.conn.hostReason()
	if reason == "" {
		return false
	}
	call.recordOutcome(reason, call.firstEventDelay)
	return true
}
