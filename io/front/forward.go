package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/ending"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/steer"
	"primrosegw/core/table"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// maxConnectFailures is the number of attempts that may end without a usable
	// connection before the request fails.
	maxConnectFailures = 4
	// responseGrace is how long the host waits for a response after the deadline.
	// Servers stop at the deadline by themselves and report it.
	responseGrace = 150 * time.Millisecond
)

// forward sends the request to one backend server after another until one
// responds or no attempt is left.
func (call *call) forward() {
	call.tried = make(map[string]bool)
	defer call.leaveQueue()
	if refusal := call.findOrigin(); refusal != nil {
		call.refuse(*refusal)
		return
	}
	for connectFailures := 0; ; {
		if call.callerGone() {
			call.abandon()
			return
		}
		if refusal := call.matchRoute(); refusal != nil {
			call.fail(refusal)
			return
		}
		if refusal := call.endsHere(); refusal != nil {
			call.giveUp(*refusal)
			return
		}
		step := call.nextStep(time.Now())
		call.countDemand(step)
		if call.endsWith(step) {
			return
		}
		if !call.awaitOrigin() {
			call.giveUp(unservedRefusal(call.state, false, "unknown_origin"))
			return
		}
		isAcquired, refusal := call.acquire(step)
		if refusal != nil {
			call.giveUp(*refusal)
			return
		}
		if !isAcquired {
			continue
		}
		call.tried[step.Choice.Member.ID] = true
		result := call.attemptInRoom(*step.Choice)
		call.state = call.state.Next(result)
		if !work.Unsent.Next(result).NotRun() {
			call.mayHaveRun++
		}
		switch result {
		case work.Served:
			call.countReached()
			return
		case work.NoConnection:
			if connectFailures++; connectFailures >= maxConnectFailures {
				call.giveUp(unservedRefusal(call.state, false, call.noServerReason("unreachable")))
				return
			}
		default:
			call.countReached()
		}
	}
}

// countDemand reports the request as demand for servers, once.
func (call *call) countDemand(step steer.Decision) {
	onDemand := call.handler.options.OnDemand
	if onDemand == nil || call.isDemandCounted {
		return
	}
	call.isDemandCounted = true
	tokens := call.work.PromptTokens
	if step.Choice != nil {
		tokens = step.Choice.Share.PrefillTokens
	}
	onDemand(&call.work, tokens, step.Reason == steer.Overload || step.Reason == steer.NoServer)
}

// endsWith ends the request if that is its next step. It reports whether it did.
func (call *call) endsWith(step steer.Decision) bool {
	switch step.Action {
	case steer.GiveUp:
		call.giveUp(unservedRefusal(call.state, step.Reason == steer.Deadline, call.noServerReason(step.Reason)))
		return true
	case steer.Refuse:
		call.refuse(refusal{status: http.StatusServiceUnavailable, reason: step.Reason, retryAfter: step.RetryAfter, choice: step.Choice})
		return true
	}
	return false
}

// acquire takes the permissions to send a request to the chosen server. It returns false if the next step
// is to be decided again, after a wait for room at brittle servers, and a refusal if that wait is too long.
func (call *call) acquire(step steer.Decision) (bool, *refusal) {
	if step.Action == steer.Await || !call.takeRoom(step.Choice.Member.Server) {
		return false, call.awaitRoom()
	}
	if !call.handler.options.Pacer.Take(step.Choice.Member.Server, time.Now()) {
		// Another request has taken the permission since the decision.
		call.handler.options.Room.Done(step.Choice.Member.Server, true, time.Now(), time.Now())
		return false, nil
	}
	return true, nil
}

// endsHere returns the refusal of a request that must not be sent to a server any more, whichever it
// is; nil if it may be.
func (call *call) endsHere() *refusal {
	refusal := unservedRefusal(call.state, false, "")
	switch {
	case call.crashesServers():
		refusal.reason, refusal.retryAfter = "crashes_servers", crashesServersRetryAfter
	case call.isUnproven:
		refusal.reason = "unproven_end"
	case !call.mayGoOn():
		refusal.reason = "not_resumable"
	case !call.finishesInDrain(time.Now()):
		refusal = unservedRefusal(call.state, true, "leaving")
	default:
		return nil
	}
	return &refusal
}

// noServerReason returns why no server is left for the request.
func (call *call) noServerReason(reason string) string {
	if call.unknownProcess && reason != steer.Deadline && reason != steer.NoRetry {
		return "unknown_process"
	}
	return reason
}

// mayGoOn reports whether another server can go on after what the caller has received.
func (call *call) mayGoOn() bool {
	return call.progress().Remedy() != ending.BreakOff
}

// nextStep returns the next step for the request: an attempt, a refusal or giving
// up.
func (call *call) nextStep(now time.Time) steer.Decision {
	options := call.handler.options
	members := options.Fleet.Members(call.work.Service, now)
	progress := steer.Progress{State: call.state, Reached: call.reached, Tried: call.excluded(members)}
	choose := options.Pick
	choose.PreferFraming = call.hadUnproven
	return steer.Next(choose, &call.work, progress, options.RetryBudgets, members, now)
}

// countReached counts a server that may have received the request. The first one
// adds a fraction of a retry to the service's retry budget.
func (call *call) countReached() {
	if call.reached == 0 {
		call.handler.options.RetryBudgets.Deposit(call.work.Service)
	}
	call.reached++
}

// attempt sends the request to one server and relays the response. Before, the server has closed so
// many connections that had to be checked.
func (call *call) attempt(choice pick.Choice, checksWithoutConn int) work.Result {
	options := call.handler.options
	server := choice.Member.Server
	key := connectionKey(server)
	conn, err := options.Pool.Get(call.ctx, key, server.Address, call.connectionLimit(server))
	if err != nil {
		if fault.Is(err, pipe.Unreachable) && call.ctx.Err() == nil {
			call.handler.recordUnreachable(server, err)
			options.Room.RecordCrash(server, time.Now())
		}
		return work.NoConnection
	}
	disown := call.closeWhenOver(conn.Close)
	defer disown()
	mustCheck := call.mustCheckProcess(conn, server)
	if mustCheck {
		receivedBefore := conn.Received()
		if err := call.handler.checkProcess(conn, server); err != nil {
			call.judgeUnanswered(conn, server, receivedBefore, err)
			conn.Discard()
			call.log(event.AttemptEnded(), logrus.Fields{"server": server.ID, "result": work.NoConnection, "state": call.state, "error": err.Error()})
			if fault.Is(err, pipe.Unsent) && (checksWithoutConn+1 < maxChecksWithoutConn || !call.reportsProcess(server)) {
				return call.attempt(choice, checksWithoutConn+1)
			}
			call.unknownProcess = call.unknownProcess || !fault.Is(err, pipe.Unreachable)
			return work.NoConnection
		}
	}
	if !call.awaitProcess(conn, server) {
		call.log(event.AttemptEnded(), logrus.Fields{"server": server.ID, "result": work.NoConnection, "state": call.state, "error": "it is not known which process the connection reached"})
		return work.NoConnection
	}
	if !call.mayStillSend(server) {
		conn.Discard()
		delete(call.tried, server.ID)
		return work.NoConnection
	}
	options.Fleet.RequestStarted(server.ID, choice.Share)
	defer options.Fleet.RequestEnded(server.ID, choice.Share)
	exchange := &exchange{call: call, isStream: call.work.Route.Kind == table.Stream, conn: conn, disown: disown, server: server, process: call.processCheckOf(conn, server, mustCheck), started: time.Now(), choice: choice}
	exchange.delivery = delivery{process: key, receivedBefore: conn.Received()}
	defer exchange.markPromptRead()
	exchange.openHold()
	defer func() { exchange.hold.Release() }()
	call.logSent(choice, exchange)
	return exchange.run()
}

// mayStillSend reports whether what allowed an attempt still holds. While the connection
// was being established, the server may have started to shut down, the routing table may
// have changed, the request may have been quarantined, and, if the process was paused, the
// proof of the table may have lapsed or the deadline may have passed. A server may also have
// started again with another version of its software, and this host may be about to stop.
func (call *call) mayStillSend(server fleet.Server) bool {
	options, now := call.handler.options, time.Now()
	return options.Fleet.Usable(server.ID, call.work.Service, now) && call.keepsVersion(server.ID) && options.Table.Load() == call.table &&
		call.hasProof() && call.work.Remaining(now) > 0 && call.finishesInDrain(now) && !call.crashesServers()
}

// hasProof reports whether the routing table is confirmed, if keys depend on it. It comes last before a
// request is written, as the time in between is the one in which a pause goes unnoticed.
func (call *call) hasProof() bool {
	options := call.handler.options
	return !call.table.RequiresKey() || options.Proof.Valid(options.Now())
}

func (call *call) logSent(choice pick.Choice, exchange *exchange) {
	call.serverID = choice.Member.ID
	if !call.handler.options.Logger.Enabled(event.RequestSent()) {
		return
	}
	fields := logrus.Fields{
		"route": call.work.Route.Name, "workspace": call.work.Workspace,
		"server": call.serverID, "server_version": choice.Member.Version, "from_event": call.events.lastID, "resumes": call.info.Resumes, "attempt": call.reached + 1, "rank": call.work.Rank, "loss": choice.Loss, "over": choice.Candidates,
		"left_ms": call.work.Remaining(exchange.started).Milliseconds(), "preferred": choice.Preferred,
		"table_version": call.tableVersion(), "proof_age_ms": call.proofAgeMs(),
		"running": choice.Member.Own.Running, "reading": choice.Member.Own.TotalPrefill(), "peer_running": choice.Member.Peers.Running,
		"peer_reading": choice.Member.Peers.TotalPrefill(), "first_ms": choice.FirstEvent.Milliseconds(), "prompt_tokens": call.work.PromptTokens,
		"reported_running": choice.Member.Load.Running, "reported_waiting": choice.Member.Load.Waiting,
		"via": exchange.conn.Via, "process": exchange.process, "connection_age_ms": exchange.started.Sub(exchange.conn.OpenedAt).Milliseconds(),
		"slowness": choice.Member.Load.Slowness, "report_age_ms": reportAgeMs(choice.Member.Load, exchange.started),
	}
	if limit, share, isBrittle := call.handler.options.Room.Limit(choice.Member.Server, exchange.started); isBrittle {
		fields["room"], fields["room_share"] = limit, share
	}
	call.log(event.RequestSent(), fields)
}

// reportAgeMs returns the age of a load report, or -1 if there is none.
func reportAgeMs(load fleet.Load, now time.Time) int64 {
	if load.ReportedAt.IsZero() {
		return -1
	}
	return now.Sub(load.ReportedAt).Milliseconds()
}

// connectionKey returns the pool key of a server's process. It distinguishes
// processes that have had the same address.
func connectionKey(server fleet.Server) string {
	return server.ID + "@" + server.Address + "/" + server.Started.String()
}

// IsProcess reports whether a pool key is that of the connections to a server's process.
func IsProcess(key string, server fleet.Server) bool {
	return connectionKey(server) == key
}

// ServerOf returns the ID of the server whose connections have a pool key.
func ServerOf(connectionKey string) string {
	return connectionKey[:max(0, strings.LastIndexByte(connectionKey, '@'))]
}

// connectionLimit returns the number of connections to a server that this host may
// open; 0: unlimited.
func (call *call) connectionLimit(server fleet.Server) int {
	return call.handler.connectionLimit(call.table, server)
}

func (handler *Handler) connectionLimit(current *table.Table, server fleet.Server) int {
	service, ok := current.Service(server.Service)
	if !ok || service.MaxConnections <= 0 {
		return 0
	}
	return handler.options.ConnectionShare(service.MaxConnections)
}

// logSuspension logs that a server is suspended, if it is.
func (handler *Handler) logSuspension(server fleet.Server, err error, now time.Time) {
	duration := handler.options.Fleet.SuspendedFor(server.ID, now)
	if duration > 0 {
		handler.options.Logger.Log(event.ServerSuspended(), logrus.Fields{
			"server": server.ID, "error": err.Error(), "for_ms": duration.Milliseconds(),
		})
	}
}

// giveUp ends a request that no server has served, with the fallback response if
// there is one.
func (call *call) giveUp(refusal refusal) {
	if call.callerGone() {
		call.abandon()
		return
	}
	if call.fallback != nil && !call.responseStarted && call.mayRelay(call.fallback.status, 1) {
		call.writeBuffered(*call.fallback)
		return
	}
	call.fail(&refusal)
}

// mayRelay reports whether the caller may get a server's status. Own is the number of attempts, among
// those that may have run, that the status is about: it must not say of others that they have not run.
func (call *call) mayRelay(status, own int) bool {
	return !work.SaysNotRun(status) || call.mayHaveRun <= own
}

// fail sends an error response. If a part of a response has already been sent, it
// aborts the connection instead, so that the response does not look complete.
func (call *call) fail(refusal *refusal) {
	if !call.responseStarted {
		if call.state.NotRun() || refusal.status >= http.StatusInternalServerError && refusal.status != http.StatusServiceUnavailable {
			call.refuse(*refusal)
			return
		}
		unserved := unservedRefusal(call.state, false, refusal.reason)
		call.refuse(unserved)
		return
	}
	now := time.Now()
	call.log(event.AnswerBroken(), logrus.Fields{
		"route": call.work.Route.Name, "server": call.serverID, "events": call.events.count, "error": refusal.reason,
		"after_ms": now.Sub(call.work.Received).Milliseconds(), "framing": call.lastFraming, "case": call.lastEnd, "draining_ms": call.handler.drainingMs(now),
	})
	call.recordOutcome(outcomeBroken, call.firstEventDelay)
	call.abort()
}

// abort ends a response that has started, so that it does not look complete: it has no last chunk, is
// shorter than its length, or its connection is reset (resetUntilWhole).
func (call *call) abort() {
	panic(http.ErrAbortHandler)
}

// abandon ends a request whose caller has gone.
func (call *call) abandon() {
	if call.abandonOwn() {
		panic(http.ErrAbortHandler)
	}
	total := time.Since(call.work.Received)
	call.log(event.CallerLeft(), logrus.Fields{
		"route": call.work.Route.Name, "server": call.serverID, "state": call.state, "after_ms": total.Milliseconds(), "events": call.events.count,
	})
	call.recordOutcome(outcomeCallerLeft, call.firstEventDelay)
	panic(http.ErrAbortHandler)
}
