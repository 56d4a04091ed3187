package front

import (
	"cmp"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/trickle"
)

// leaveMargin is how long before the deadline of its request a caller may leave because it has passed.
const leaveMargin = 100 * time.Millisecond

// delivery is what an attempt has brought so far, to tell a server that trickles from a slow one.
type delivery struct {
	// process is the pool key of the server's process.
	process string
	// receivedBefore is what the connection had received before.
	receivedBefore int64
	// lastPart is when the caller had taken the last complete part of the response.
	lastPart time.Time
	// callerHeld is how long the caller kept the server waiting.
	callerHeld time.Duration
	// callerFailed: the response could not be written to the caller.
	callerFailed bool
}

// recordPart records that the server has completed a part of a response, and the caller has taken it.
// The last part makes the response whole.
func (exchange *exchange) recordPart(whole bool) {
	now := time.Now()
	exchange.delivery.lastPart = now
	exchange.call.handler.trickle.RecordPart(trickle.Part{
		Server: exchange.delivery.process, Service: exchange.server.Service, Started: exchange.started, Completed: now,
		Allowed: exchange.call.allowed(), Whole: whole,
	})
}

// allowed returns the time that the route gives a request.
func (call *call) allowed() time.Duration { return cmp.Or(call.work.Route.Timeout, defaultTimeout) }

// judgeDeadline judges an attempt that has ended without a complete response, if its deadline did that.
func (exchange *exchange) judgeDeadline(now time.Time) {
	call, handler, made := exchange.call, exchange.call.handler, exchange.delivery
	if made.callerFailed || now.Add(leaveMargin).Before(call.work.Deadline) || handler.stopping.Err() != nil {
		return
	}
	verdict := handler.trickle.JudgeDeadline(trickle.Attempt{
		Server: made.process, Service: exchange.server.Service, Started: exchange.started, Ended: now,
		Allowed: exchange.call.allowed(), Received: exchange.conn.Received() > made.receivedBefore,
		LastPart: made.lastPart, CallerHeld: made.callerHeld,
	})
	if !verdict.Wasted {
		return
	}
	handler.options.Fleet.RecordTrickle(exchange.server.ID, verdict.Pause, now)
	if verdict.Pause > 0 {
		err := fault.New("front.judge_deadline", trickle.Trickles, "requests reach their deadlines without a complete part of a response")
		handler.logSuspension(exchange.server, err, now)
	}
}
