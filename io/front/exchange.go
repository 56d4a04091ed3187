package front

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/budget"
	"primrosegw/core/ending"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/pace"
	"primrosegw/core/pick"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// maxForeignResponses is the number of responses to other requests that are
	// skipped before the connection is closed.
	maxForeignResponses = 3
	// maxForeignBytes limits the size of a response body that is read and dropped.
	maxForeignBytes = 64 << 10
	// maxDiscardTime limits how long the body of a dropped response may take only to keep its connection, because
	// the caller waits. What stands before the awaited response has until the verdict on that is due.
	maxDiscardTime = 200 * time.Millisecond
	// maxBufferedBytes limits the size of a response that is neither a stream nor can be
	// passed on while it is read. An attempt with a longer one fails.
	maxBufferedBytes = 1 << 20
)

// exchange is an attempt: one request and its response on one connection.
type exchange struct {
	call *call
	conn *pipe.Conn
	// disown ends the hold of the caller, which closes the connection by leaving. It returns false
	// if the caller has left.
	disown  func() bool
	server  fleet.Server
	process processCheck
	started time.Time
	choice  pick.Choice
	// unreadFor is how long the end of the response's connection may have gone unnoticed, because the
	// caller did not read.
	unreadFor time.Duration
	// promptRead: the server has read the prompt.
	promptRead bool
	// isStream: the response is one, or its head is not known and the route has streams.
	isStream bool
	// reusable: the whole request was sent, and no response to another request was
	// received, so the connection may be reused.
	reusable bool
	delivery delivery
	// spans measures the gaps between the events of a stream.
	spans pace.Spans
	// watch is nil until the request is sent.
	watch *pathWatch
	// hold is the memory of the response.
	hold *budget.Hold
}

// markPromptRead records once that the server has read the prompt.
func (exchange *exchange) markPromptRead() {
	if !exchange.promptRead {
		exchange.promptRead = true
		exchange.call.handler.options.Fleet.PrefillDone(exchange.server.ID, exchange.choice.Share)
	}
}

// run sends the request and relays the response.
func (exchange *exchange) run() work.Result {
	call := exchange.call
	deadline := call.work.Deadline.Add(responseGrace)
	complete, err := exchange.conn.Send(pipe.Request{
		Method: call.request.Method, Target: call.request.RequestURI, Host: call.request.Host,
		Header: call.handler.options.Headers.ForwardHeader(call.request.Header, exchange.forwardInfo()), Body: call.body,
		MaySend: func() bool { return call.mayStillSend(exchange.server) && call.hasProof() },
	}, deadline)
	if err != nil {
		exchange.conn.Discard()
		if fault.Is(err, pipe.Unsent) {
			delete(call.tried, exchange.server.ID)
			return work.NoConnection
		}
		return exchange.failAttempt(err)
	}
	exchange.reusable = complete
	exchange.watch = exchange.watchPath()
	defer exchange.watch.end()
	response, info, err := exchange.awaitResponse(deadline)
	if err != nil {
		exchange.conn.Discard()
		return exchange.failAttempt(err)
	}
	exchange.markPromptRead()
	exchange.recordAlive(time.Now())
	if !info.NotRun {
		now := time.Now()
		exchange.recordBegun(now)
		call.handler.options.Pick.ObserveFirstEvent(&call.work, &exchange.choice, now.Sub(exchange.started), now)
	} else {
		call.handler.options.Pick.Pace.RecordLate(exchange.server, time.Now())
	}
	if info.Load != nil {
		call.handler.options.Fleet.ReportLoad(exchange.server.ID, *info.Load)
	}
	exchange.observeRateLimit(response, info)
	exchange.observeBrittle(response, info)
	exchange.observeRefusal(info)
	return exchange.handleResponse(response, info)
}

// recordBegun counts the request as begun by the server.
func (exchange *exchange) recordBegun(now time.Time) {
	if onBegun := exchange.call.handler.options.OnBegun; onBegun != nil {
		onBegun(exchange.call.work.Workspace, now)
	}
}

// recordUnansweredRun counts a request without a response. A plain server begins a request soon after it
// has arrived whole, so that it has probably run; an engine may not have begun with the prompt.
func (exchange *exchange) recordUnansweredRun(now time.Time) {
	if exchange.reusable && !exchange.promptRead && !exchange.call.work.Route.HasPrompt {
		exchange.recordBegun(now)
	}
}

// observeRateLimit records the limit that the server named, and logs a change. Only a success
// without a limit shows that the server names none.
func (exchange *exchange) observeRateLimit(response pipe.Response, info ResponseInfo) {
	if info.RateLimit == 0 && (!isSuccess(response) || !info.Signed) {
		return
	}
	if exchange.call.handler.options.Pacer.Observe(exchange.server, info.RateLimit, exchange.started, time.Now()) {
		exchange.call.log(event.ServerLimitChanged(), logrus.Fields{"server": exchange.server.ID, "per_second": info.RateLimit})
	}
}

// observeRefusal records that the server refused the request, and for how long it wants none.
func (exchange *exchange) observeRefusal(info ResponseInfo) {
	call, now := exchange.call, time.Now()
	if info.NotRun {
		call.handler.options.Fleet.RecordDeclined(exchange.server.ID, now)
	}
	if info.RetryAfter > 0 && call.handler.options.Fleet.RecordTurnedAway(exchange.server, now.Add(info.RetryAfter), now) {
		call.log(event.ServerTurnedAway(), logrus.Fields{"server": exchange.server.ID, "for_ms": info.RetryAfter.Milliseconds()})
	}
}

// observeLeaving records that a server says in a response, to whatever request, that it is leaving.
func (handler *Handler) observeLeaving(server fleet.Server, info ResponseInfo) {
	if info.Leaving && handler.options.Fleet.RecordLeaving(server, time.Now()) {
		handler.options.Logger.Log(event.ServerLeaving(), logrus.Fields{"server": server.ID, "service": server.Service})
	}
}

func isSuccess(response pipe.Response) bool {
	return response.StatusCode >= 200 && response.StatusCode < 300
}

func (exchange *exchange) forwardInfo() ForwardInfo {
	call := exchange.call
	return ForwardInfo{
		Server: exchange.server, Workspace: call.work.Workspace, TimeLeft: call.work.Remaining(time.Now()),
		Rank: call.work.Rank, LastEventID: call.events.lastID,
	}
}

// awaitResponse returns the response to this request. It drops responses to other
// requests, which servers send late or twice.
func (exchange *exchange) awaitResponse(deadline time.Time) (pipe.Response, ResponseInfo, error) {
	call := exchange.call
	call.lastFraming, call.lastEnd = "", ""
	exchange.conn.TakeHeaders(exchange.takeHeader)
	defer exchange.conn.TakeHeaders(nil)
	response, err := exchange.conn.AwaitResponse(call.request.Method, deadline)
	for foreign := 0; err == nil; foreign++ {
		info := call.handler.options.Headers.ParseResponse(response.StatusCode, response.Header)
		call.handler.observeLeaving(exchange.server, info)
		if info.ID == call.work.ID {
			return response, info, nil
		}
		call.log(event.ForeignAnswer(), logrus.Fields{"server": exchange.server.ID, "answer_id": info.ID})
		exchange.reusable = false
		if foreign >= maxForeignResponses {
			return response, info, fault.New("front.await", pipe.Malformed, "too many responses to other requests")
		}
		if !exchange.discardBody(response, call.verdictDue()) {
			return response, info, fault.New("front.await", pipe.Lost, "incomplete or oversized response to another request")
		}
		exchange.conn.SetReadDeadline(deadline)
		response, err = exchange.conn.NextResponse(call.request.Method)
	}
	return pipe.Response{}, ResponseInfo{}, err
}

// handleResponse determines the result of the attempt from the response and relays
// the response if the caller is to get it.
func (exchange *exchange) handleResponse(response pipe.Response, info ResponseInfo) work.Result {
	success := isSuccess(response)
	exchange.isStream = isStream(response.Header)
	exchange.call.lastFraming = framing(response)
	switch {
	case info.NotRun:
		exchange.drainBody(response)
		return exchange.logAttempt(work.Declined, response.StatusCode, nil)
	case exchange.isNotTheRest(response):
		return exchange.dropResponse(response)
	case success && (!info.Signed || response.Header.Get("Content-Encoding") != ""):
		exchange.conn.Discard()
		return exchange.failAttempt(fault.New("front.judge", pipe.Malformed, "the response is unsigned or has a content encoding"))
	case success && isStream(response.Header):
		return exchange.relayStream(response)
	}
	return exchange.relayBuffered(response, success)
}

// isNotTheRest reports whether the caller has a part of a stream, and the response can't be the
// rest of it. A caller that takes a stream up gets a server's error, as its response has not
// started.
func (exchange *exchange) isNotTheRest(response pipe.Response) bool {
	call, success := exchange.call, isSuccess(response)
	if success && isStream(response.Header) {
		return false
	}
	return call.responseStarted || success && call.events.lastID != ""
}

// dropResponse drops a response that is not the rest of the stream that the caller is reading:
// nothing of it may stand in the stream. Another server may go on with it.
func (exchange *exchange) dropResponse(response pipe.Response) work.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		exchange.call.handler.options.Fleet.RecordFailure(exchange.server.ID)
	}
	exchange.drainBody(response)
	return exchange.logAttempt(work.Failed, response.StatusCode, fault.New("front.judge", pipe.Malformed, "the response is not the rest of the stream"))
}

func isStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// relayBuffered reads the complete response before writing it to the caller, so
// that a truncated one can be retried or reported as an error. One that can be passed on
// while it is read is, if it is long.
func (exchange *exchange) relayBuffered(response pipe.Response, success bool) work.Result {
	call := exchange.call
	if !call.mayRelay(response.StatusCode, 0) {
		return exchange.dropStatus(response)
	}
	if exchange.mayPassThrough(response) {
		return exchange.passThrough(response, success)
	}
	segments, length, err := exchange.readBody(response)
	if err != nil {
		exchange.conn.Discard()
		return exchange.failAttempt(err)
	}
	if length > maxBufferedBytes {
		exchange.conn.Discard()
		return exchange.failAttempt(fault.New("front.complete", pipe.Malformed, "the response is too long"))
	}
	if result, whole := exchange.proveEnd(response); !whole {
		return result
	}
	if success {
		exchange.recordProvenEnd(response)
	}
	exchange.releaseConn(response)
	buffered := bufferedResponse{status: response.StatusCode, header: response.Header, trailer: response.Trailer, segments: segments, length: length}
	buffered.isUnframed = !isDelimited(response) && call.request.Method != http.MethodHead
	if success {
		call.handler.options.Fleet.RecordSuccess(exchange.server.ID)
		call.writeBuffered(buffered)
		return work.Served
	}
	if response.StatusCode >= http.StatusInternalServerError {
		call.handler.options.Fleet.RecordFailure(exchange.server.ID)
		call.keepFallback(&buffered, exchange)
		return exchange.logAttempt(work.Failed, response.StatusCode, nil)
	}
	call.writeBuffered(buffered)
	return work.Served
}

// dropStatus drops a response whose status would say to the caller that its request has not run, though
// an earlier attempt may have.
func (exchange *exchange) dropStatus(response pipe.Response) work.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		exchange.call.handler.options.Fleet.RecordFailure(exchange.server.ID)
	}
	exchange.drainBody(response)
	return exchange.logAttempt(work.Failed, response.StatusCode, nil)
}

// drainBody reads and drops a response that the caller does not get, so that the
// connection can be reused. A long response is not worth that: the connection is closed.
func (exchange *exchange) drainBody(response pipe.Response) {
	if !exchange.discardBody(response, time.Now().Add(maxDiscardTime)) {
		exchange.conn.Discard()
		return
	}
	exchange.releaseConn(response)
}

// discardBody reads and drops the body of a response, and reports whether it ended
// within maxForeignBytes and a time limit.
func (exchange *exchange) discardBody(response pipe.Response, limit time.Time) bool {
	if response.ContentLength > maxForeignBytes {
		return false
	}
	exchange.conn.SetReadDeadline(limit)
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
	exchange.recordBrokenFraming(err)
	return err == nil && count <= maxForeignBytes
}

// releaseConn returns the connection to the pool after a complete response, or
// closes it if it can't be reused. The next request may take it at once, so from here on this
// one's caller must not close it.
func (exchange *exchange) releaseConn(response pipe.Response) {
	exchange.watch.end()
	if exchange.disown() && exchange.reusable && response.KeepAlive && isDelimited(response) {
		exchange.conn.Release(response.Header)
		return
	}
	exchange.conn.Discard()
}

// isDelimited reports whether the end of a response can be told from a lost connection.
func isDelimited(response pipe.Response) bool {
	return framing(response) != ending.Connection
}

func framing(response pipe.Response) ending.Framing {
	return ending.FramingOf(response.ContentLength, len(response.TransferEncoding) > 0)
}

// recordProvenEnd records the end of a success that is whole.
func (exchange *exchange) recordProvenEnd(response pipe.Response) {
	if exchange.showsFraming(response) {
		handler, now := exchange.call.handler, time.Now()
		handler.options.Fleet.RecordFramed(exchange.server, now)
		handler.recordWhole(exchange.server, exchange.isStream, now)
	}
	exchange.recordAlive(time.Now())
	exchange.call.recordHarmless()
	exchange.recordPart(true)
}

// showsFraming reports whether a response shows that its server frames: one without a body needs no
// framing.
func (exchange *exchange) showsFraming(response pipe.Response) bool {
	return isDelimited(response) && response.ContentLength != 0 && exchange.call.request.Method != http.MethodHead
}

// failAttempt ends an attempt without a valid response. It counts as a failure of
// the server unless the caller has gone, the deadline has passed, this host stops or does not reach the
// server.
func (exchange *exchange) failAttempt(err error) work.Result {
	if memoryShortage(err) != "" {
		return exchange.failShort(err)
	}
	call := exchange.call
	now := time.Now()
	exchange.recordUnansweredRun(now)
	exchange.recordBrokenFraming(err)
	exchange.recordLastEvent()
	if exchange.watch != nil && exchange.watch.isBroken() {
		return exchange.logAttempt(work.Broken, 0, fault.New("front.watch", pipe.Lost, "the path to the server is down"))
	}
	if !call.callerGone() && now.Before(call.work.Deadline) && call.handler.stopping.Err() == nil {
		call.handler.recordBroken(exchange.conn, exchange.server, exchange.delivery.receivedBefore)
		if !exchange.isPathAtFault() {
			call.handler.options.Fleet.RecordBrokenAnswer(exchange.server.ID, now)
		}
		call.handler.options.Fleet.DoubtProcess(exchange.server.ID, now)
		if call.handler.options.CrashDetector.ObserveBrokenResponse(connectionKey(exchange.server), call.features(), exchange.started, now) {
			go call.handler.probe(exchange.server, call.connectionLimit(exchange.server), call.reportsProcess(exchange.server))
		}
		call.handler.logSuspension(exchange.server, err, now)
	} else {
		exchange.recordUnanswered(now)
		exchange.judgeDeadline(now)
	}
	return exchange.logAttempt(work.Broken, 0, err)
}

func (exchange *exchange) logAttempt(result work.Result, status int, err error) work.Result {
	call := exchange.call
	fields := logrus.Fields{
		"server": exchange.server.ID, "result": result, "status": status, "state": call.state.Next(result),
		"after_ms": time.Since(exchange.started).Milliseconds(), "events": call.events.count, "framing": call.lastFraming, "case": call.lastEnd,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	if result == work.Broken {
		fields["fingerprint"], fields["parts"] = strconv.FormatUint(call.fingerprint(), 16), partIDs(call.work.Parts)
	}
	exchange.addEvidence(fields)
	call.log(event.AttemptEnded(), fields)
	return result
}

// partIDs returns the hexadecimal IDs of the parts of a prompt, separated by commas.
func partIDs(parts []work.Part) string {
	ids := make([]string, len(parts))
	for index, part := range parts {
		ids[index] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}
