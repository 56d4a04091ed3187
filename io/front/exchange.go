package front

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// mostForeign bounds the answers to other requests that are skipped before
	// the connection is given up.
	mostForeign = 3
	// longestForeign bounds the bytes of such an answer.
	longestForeign = 64 << 10
	// longestWhole bounds an answer that is kept until it is complete. Longer
	// ones are relayed as they come.
	longestWhole = 1 << 20
)

// exchange is one request on one connection.
type exchange struct {
	call    *call
	conn    *pipe.Conn
	server  fleet.Server
	started time.Time
	share   fleet.RequestLoad
	// predicted is the time to the first event that was expected.
	predicted time.Duration
	// done: the server has read the prompt.
	done bool
	// whole: all of the request was sent, and no answer to another one came.
	whole bool
}

// read notes that the server has read the prompt.
func (exchange *exchange) read() {
	if !exchange.done {
		exchange.done = true
		exchange.call.front.options.Fleet.PrefillDone(exchange.server.ID, exchange.share)
	}
}

// run sends the request and takes the answer.
func (exchange *exchange) run() work.Result {
	call := exchange.call
	deadline := call.work.Deadline.Add(answerSlack)
	whole, err := exchange.conn.Send(pipe.Message{
		Method: call.request.Method, Target: call.request.RequestURI, Host: call.request.Host,
		Header: call.front.options.Wire.Forward(call.request.Header, exchange.order()), Body: call.body,
	}, deadline)
	if err != nil {
		exchange.conn.Discard()
		if fault.Is(err, pipe.Unsent) {
			delete(call.tried, exchange.server.ID)
			return work.NoConnection
		}
		return exchange.broken(err)
	}
	exchange.whole = whole
	answer, head, err := exchange.await(deadline)
	if err != nil {
		exchange.conn.Discard()
		return exchange.broken(err)
	}
	exchange.read()
	if !head.NotRun {
		call.front.options.Pick.Pace.Learn(call.work.Service, exchange.predicted, time.Since(exchange.started))
	}
	if head.Load != nil {
		call.front.options.Fleet.ReportLoad(exchange.server.ID, *head.Load)
	}
	return exchange.judge(answer, head)
}

func (exchange *exchange) order() Order {
	call := exchange.call
	return Order{
		Server: exchange.server, Workspace: call.work.Workspace, Left: call.work.Left(time.Now()),
		Rank: call.work.Rank, LastEvent: call.events.last,
	}
}

// await returns the answer to this request. Answers to others, which servers
// send late or twice, are dropped.
func (exchange *exchange) await(deadline time.Time) (pipe.Answer, Head, error) {
	call := exchange.call
	answer, err := exchange.conn.Await(call.request.Method, deadline)
	for foreign := 0; err == nil; foreign++ {
		head := call.front.options.Wire.Head(answer.StatusCode, answer.Header)
		if head.ID == call.work.ID {
			return answer, head, nil
		}
		call.log(event.ForeignAnswer(), logrus.Fields{"server": exchange.server.ID, "answer_id": head.ID})
		exchange.whole = false
		if foreign >= mostForeign {
			return answer, head, fault.New("front.await", pipe.Malformed, "too many answers to other requests")
		}
		count, failed := io.Copy(io.Discard, io.LimitReader(answer.Body, longestForeign))
		if failed != nil || count == longestForeign {
			return answer, head, fault.New("front.await", pipe.Lost, "an answer to another request has no end")
		}
		answer, err = exchange.conn.Next(call.request.Method)
	}
	return pipe.Answer{}, Head{}, err
}

// judge decides what an answer means and relays it.
func (exchange *exchange) judge(answer pipe.Answer, head Head) work.Result {
	success := answer.StatusCode >= 200 && answer.StatusCode < 300
	switch {
	case head.NotRun:
		exchange.drain(answer)
		return exchange.ended(work.Declined, answer.StatusCode, nil)
	case success && (!head.Signed || answer.Header.Get("Content-Encoding") != ""):
		exchange.conn.Discard()
		return exchange.broken(fault.New("front.judge", pipe.Malformed, "the answer is not the server's own"))
	case success && isStream(answer.Header):
		return exchange.stream(answer)
	}
	return exchange.complete(answer, success)
}

func isStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// complete takes a whole answer before it is passed on, so that one that breaks
// off can be tried again or be reported as what it is.
func (exchange *exchange) complete(answer pipe.Answer, success bool) work.Result {
	call := exchange.call
	body, err := io.ReadAll(io.LimitReader(answer.Body, longestWhole+1))
	if err != nil {
		exchange.conn.Discard()
		return exchange.broken(err)
	}
	if len(body) > longestWhole {
		exchange.conn.Discard()
		return exchange.broken(fault.New("front.complete", pipe.Malformed, "the answer is too long"))
	}
	exchange.release(answer)
	whole := fallback{status: answer.StatusCode, header: answer.Header, body: body}
	if success {
		call.front.options.Fleet.RecordSuccess(exchange.server.ID)
		call.passOn(whole)
		return work.Served
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		call.front.options.Fleet.RecordFailure(exchange.server.ID)
		call.fallback = &whole
		return exchange.ended(work.Failed, answer.StatusCode, nil)
	}
	call.passOn(whole)
	return work.Served
}

// drain reads the rest of an answer that is not passed on.
func (exchange *exchange) drain(answer pipe.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, longestForeign)); err != nil {
		exchange.conn.Discard()
		return
	}
	exchange.release(answer)
}

// release gives the connection back after a whole answer.
func (exchange *exchange) release(answer pipe.Answer) {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if exchange.whole && answer.KeepAlive && framed {
		exchange.conn.Reuse(answer.Header)
		return
	}
	exchange.conn.Discard()
}

// broken ends an attempt without a proper answer.
func (exchange *exchange) broken(err error) work.Result {
	call := exchange.call
	now := time.Now()
	if !call.gone() && now.Before(call.work.Deadline) {
		call.front.options.Fleet.RecordBrokenAnswer(exchange.server.ID, now)
		if call.front.options.Witness.Broke(exchange.server.ID, call.fingerprint(), now) {
			go call.front.check(exchange.server, call.connections(exchange.server))
		}
		call.front.suspended(exchange.server, err, now)
	}
	return exchange.ended(work.Broken, 0, err)
}

func (exchange *exchange) ended(result work.Result, status int, err error) work.Result {
	call := exchange.call
	fields := logrus.Fields{
		"server": exchange.server.ID, "result": result, "status": status, "state": call.state.Next(result),
		"after_ms": time.Since(exchange.started).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	call.log(event.AttemptEnded(), fields)
	return result
}

// passOn writes a whole answer to the caller.
func (call *call) passOn(answer fallback) {
	copyHeader(call.writer.Header(), answer.header)
	call.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	call.first = time.Since(call.work.Received)
	call.writer.WriteHeader(answer.status)
	if call.request.Method != http.MethodHead {
		// The caller may have gone; there is nobody to tell.
		_, _ = call.writer.Write(answer.body)
	}
	call.ended(answer.status)
}

// ended logs and counts a request that a server has answered.
func (call *call) ended(status int) {
	total := time.Since(call.work.Received)
	call.log(event.RequestEnded(), logrus.Fields{
		"route": call.work.Route.Name, "workspace": call.work.Workspace, "status": status, "server": call.server,
		"attempts": call.reached + 1, "first_ms": call.first.Milliseconds(), "total_ms": total.Milliseconds(),
		"events": call.events.count, "last_event": call.events.last, "gap_ms": call.longest.Milliseconds(),
		"objective_ms": call.work.Route.Objective.Milliseconds(), "gap_objective_ms": call.work.Route.GapObjective.Milliseconds(),
	})
	call.end(strconv.Itoa(status), call.first)
}

// copyHeader copies the headers that do not belong to one connection only.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !perConnection(name, from) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
}

func perConnection(name string, header http.Header) bool {
	return IsHopByHop(name, header)
}

// IsHopByHop reports whether a header concerns one connection only (RFC 9110,
// section 7.6.1).
func IsHopByHop(name string, header http.Header) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	for _, value := range header.Values("Connection") {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}
