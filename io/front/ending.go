package front

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/ending"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

// verdictMargin is how long before the deadline of a request the verdict on its response is due.
const verdictMargin = 100 * time.Millisecond

// proveEnd reports whether a response that has ended is whole. If not, it ends the attempt and
// returns its result.
func (exchange *exchange) proveEnd(response pipe.Response) (result work.Result, whole bool) {
	if isDelimited(response) || exchange.call.request.Method == http.MethodHead {
		return "", true
	}
	call, now := exchange.call, time.Now()
	check := &endCheck{handler: call.handler, server: exchange.server, table: call.table, requestID: call.work.ID, caller: call.request.Context(), senderOpenedAt: exchange.conn.OpenedAt, Evidence: ending.Evidence{
		Framing: framing(response), Trusted: call.trustsEnds(exchange.server), BegunFramed: call.responseStarted && !call.isUnframed, EndedAt: now, UnreadFor: exchange.unreadFor,
		Stream: isStream(response.Header), SenderKnown: isConfirmed(exchange.conn, exchange.server),
		Outcome: ending.Unasked, Events: call.arrivedEvents(), RunEvents: ending.NotListed,
	}}
	status, mayClear := call.handler.cutsFor(exchange.server)
	check.awaitsClearing, check.NoCuts = mayClear, mayClear || status != ending.Seen
	exchange.conn.Discard()
	if check.NeedsAnswer() {
		check.run(call.answerDue(check))
		check.settle(call.work.Deadline.Add(-verdictMargin))
		check.settleLate(call.work.Deadline.Add(-verdictMargin))
		if check.isPassedOn() {
			// The same device or process may have cut others at the same time.
			check.NoCuts = check.awaitCuts(call.verdictDue())
		}
	}
	if !check.Stream {
		// The run may make events of which the response is made up.
		check.RunEvents = ending.NotListed
	}
	reason, verdict := check.Judge()
	call.lastEnd = reason
	if verdict.Serves() {
		check.log(call, reason, verdict, "")
		return "", true
	}
	remedy := call.progress().Remedy()
	check.log(call, reason, verdict, remedy)
	if verdict == ending.Ended {
		return exchange.leaveEnded(), false
	}
	if verdict == ending.Cut {
		call.handler.recordCut(exchange.server, listedLonger, check.Stream)
	}
	exchange.noteUnprovenStream(response)
	call.isUnproven = remedy == ending.Refuse || remedy == ending.BreakOff
	if isSuccess(response) {
		call.handler.options.Fleet.RecordArrived(exchange.server.ID, time.Now())
	}
	return exchange.leaveUnproven(), false
}

// verdictDue returns when the verdict on a response that has ended is due. A request that can run again
// needs time for that.
func (call *call) verdictDue() time.Time {
	if call.progress().Remedy() == ending.Repeat {
		return time.Now().Add(call.work.Remaining(time.Now()) / 2)
	}
	return call.work.Deadline.Add(-verdictMargin)
}

// answerDue returns until when a server is asked after the end of its response.
func (call *call) answerDue(check *endCheck) time.Time {
	latest := call.work.Deadline.Add(responseGrace)
	due := earlier(check.EndedAt.Add(ending.TimeLimit), latest)
	switch {
	case check.Trusted:
		patient := earlier(check.EndedAt.Add(ending.SilenceLimit), latest)
		if call.progress().Remedy() == ending.Repeat {
			patient = earlier(patient, call.verdictDue())
		}
		return later(due, patient)
	case check.Stream && check.Events > 0:
		// By then the registrations show what a silent server does not say.
		due = later(due, earlier(check.EndedAt.Add(registrationTime), call.work.Deadline.Add(-verdictMargin)))
		return call.handler.beforeExit(due.Add(lookTime)).Add(-lookTime)
	}
	return due
}

// trustsEnds reports whether the responses of a server may end with their connection.
func (call *call) trustsEnds(server fleet.Server) bool {
	return call.handler.options.TrustedServices[server.Service]
}

// arrivedEvents returns how many events of the run have arrived, or more if that is not known: a
// caller that takes a stream up has had some before.
func (call *call) arrivedEvents() int {
	if call.info.LastEventID == "" {
		return call.events.count
	}
	if number, err := strconv.Atoi(call.events.lastID); err == nil {
		// IDs may begin with 0.
		return max(call.events.count, number+1)
	}
	return math.MaxInt
}

// progress returns what decides about the request if a response is not whole.
func (call *call) progress() ending.Progress {
	return ending.Progress{
		Delivered: call.events.count > 0 || call.bodyStarted, Resumable: call.work.Route.Resumable && !call.bodyStarted,
		Provable: call.events.mayResume(), Repeatable: call.work.Route.Repeatable(),
	}
}

// leaveUnproven ends an attempt whose response may be whole, which can't be known. That is no
// failure of the server. Whether it has crashed is found out in the background.
func (exchange *exchange) leaveUnproven() work.Result {
	call, server := exchange.call, exchange.server
	call.hadUnproven = true
	if !call.trustsEnds(server) {
		call.handler.options.Fleet.RecordUnproven(server, time.Now())
	}
	call.handler.options.Fleet.DoubtProcess(server.ID, time.Now())
	call.handler.options.CrashDetector.ObserveAmbiguousEnd(connectionKey(server), call.features(), exchange.started, time.Now())
	exchange.startProbe()
	return exchange.logAttempt(work.Broken, 0, fault.New("front.prove_end", pipe.Lost, "nothing shows that the response is whole"))
}

// leaveEnded ends an attempt whose response ended with its server's process. The end of the process counts
// once, when the probe finds it, however many responses it has cut.
func (exchange *exchange) leaveEnded() work.Result {
	call, server := exchange.call, exchange.server
	exchange.recordLastEvent()
	if !exchange.isPathAtFault() {
		call.handler.options.Fleet.DoubtProcess(server.ID, time.Now())
		call.handler.options.CrashDetector.ObserveBrokenResponse(connectionKey(server), call.features(), exchange.started, time.Now())
		exchange.startProbe()
	}
	return exchange.logAttempt(work.Broken, 0, fault.New("front.prove_end", pipe.Lost, "the server ended with the response"))
}

// startProbe finds out in the background whether the server has crashed.
func (exchange *exchange) startProbe() {
	call, server := exchange.call, exchange.server
	handler, limit, reportsProcess := call.handler, call.connectionLimit(server), call.reportsProcess(server)
	handler.probes.start(connectionKey(server), func() bool { return handler.probe(server, limit, reportsProcess) })
}

// log logs and counts the end of a response. The remedy is empty if the response is whole.
func (check *endCheck) log(call *call, reason ending.Case, verdict ending.Verdict, remedy ending.Remedy) {
	fields := logrus.Fields{
		"server": check.server.ID, "framing": check.Framing, "connection": "none", "case": reason, "outcome": check.Outcome,
		"verdict": verdict, "events": call.events.count, "run_events": check.RunEvents, "took_ms": milliseconds(time.Since(check.EndedAt)),
	}
	if remedy != "" {
		fields["remedy"] = remedy
	}
	if !check.ConnectedAt.IsZero() {
		fields["connection"], fields["opened_after_ms"] = "new", milliseconds(check.ConnectedAt.Sub(check.EndedAt))
	}
	if !check.AskedAt.IsZero() {
		fields["asked_after_ms"] = milliseconds(check.AskedAt.Sub(check.EndedAt))
	}
	if check.err != nil {
		fields["error"] = check.err.Error()
	}
	call.log(event.ResponseEndJudged(), fields)
	call.handler.options.Meter.AddToCounter("connection_ends", "case", string(reason), 1)
}

// milliseconds returns a duration in milliseconds with three decimals.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
