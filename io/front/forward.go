package front

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/steer"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// mostDials bounds the servers that are tried without a connection.
	mostDials = 4
	// answerSlack is how long after the deadline a server's own answer is still
	// awaited: it ends the work at the deadline by itself.
	answerSlack = 150 * time.Millisecond
)

// forward sends the request to one backend server after the other until one
// answers.
func (call *call) forward() {
	call.tried = make(map[string]bool)
	for dials := 0; ; {
		if call.gone() {
			call.left()
			return
		}
		if refusal := call.match(); refusal != nil {
			call.finish(refusal)
			return
		}
		if call.suspect() {
			call.giveUp(false, "crashes_servers")
			return
		}
		step := call.next(time.Now())
		switch step.Action {
		case steer.GiveUp:
			call.giveUp(step.Reason == steer.Deadline, step.Reason)
			return
		case steer.Refuse:
			call.refuse(refusal{status: http.StatusServiceUnavailable, reason: step.Reason, after: step.After, choice: step.Choice})
			return
		}
		call.tried[step.Choice.Member.ID] = true
		result := call.attempt(*step.Choice)
		call.state = call.state.Next(result)
		switch result {
		case work.Served:
			call.countReached()
			call.clear()
			return
		case work.NoConnection:
			if dials++; dials >= mostDials {
				call.giveUp(false, "unreachable")
				return
			}
		default:
			call.countReached()
		}
	}
}

// next decides what to do with the request now.
func (call *call) next(now time.Time) steer.Step {
	options := call.front.options
	progress := steer.Progress{State: call.state, Reached: call.reached, Tried: call.tried}
	members := options.Fleet.Members(call.work.Service, now)
	return steer.Next(options.Pick, &call.work, progress, options.Budget, members, now)
}

// countReached counts a server that was sent the request. The first one pays for
// a share of a retry.
func (call *call) countReached() {
	if call.reached == 0 {
		call.front.options.Budget.Earn(call.work.Service)
	}
	call.reached++
}

// attempt sends the request to one server and relays its answer.
func (call *call) attempt(choice pick.Choice) work.Result {
	options := call.front.options
	server := choice.Member.Server
	key := connectionKey(server)
	conn, err := options.Pool.Get(call.ctx, key, server.Address, call.connections(server))
	if err != nil {
		if fault.Is(err, pipe.Unreachable) && call.ctx.Err() == nil {
			call.front.unreachable(server, err)
		}
		return work.NoConnection
	}
	stop := context.AfterFunc(call.request.Context(), conn.Close)
	defer stop()
	// The server may have said that it leaves while the connection was made, and
	// the table may have changed.
	if !options.Fleet.Usable(server.ID, call.work.Service, time.Now()) || options.Table.Load() != call.table {
		conn.Discard()
		delete(call.tried, server.ID)
		return work.NoConnection
	}
	options.Fleet.RequestStarted(server.ID, choice.Share)
	defer options.Fleet.RequestEnded(server.ID, choice.Share)
	exchange := &exchange{call: call, conn: conn, server: server, started: time.Now(), share: choice.Share, predicted: choice.First}
	defer exchange.read()
	call.logSent(choice, exchange)
	return exchange.run()
}

func (call *call) logSent(choice pick.Choice, exchange *exchange) {
	call.server = choice.Member.ID
	if !call.front.options.Logger.Enabled(event.RequestSent()) {
		return
	}
	call.log(event.RequestSent(), logrus.Fields{
		"route": call.work.Route.Name, "workspace": call.work.Workspace,
		"server": call.server, "attempt": call.reached + 1, "rank": call.work.Rank, "loss": choice.Loss, "over": choice.Over,
		"left_ms": call.work.Left(exchange.started).Milliseconds(), "preferred": choice.Preferred,
		"table_version": call.version(), "proof_age_ms": call.proofAge(),
		"running": choice.Member.Own.Running, "reading": choice.Member.Own.TotalPrefill(), "peer_running": choice.Member.Peers.Running,
		"peer_reading": choice.Member.Peers.TotalPrefill(), "first_ms": choice.First.Milliseconds(), "prompt_tokens": call.work.PromptTokens,
		"reported_running": choice.Member.Load.Running, "reported_waiting": choice.Member.Load.Waiting,
		"slowness": choice.Member.Load.Slowness, "report_age_ms": reportAge(choice.Member.Load, exchange.started),
	})
}

// reportAge is the age of a load report, -1 if there was none.
func reportAge(load fleet.Load, now time.Time) int64 {
	if load.ReportedAt.IsZero() {
		return -1
	}
	return now.Sub(load.ReportedAt).Milliseconds()
}

// connectionKey tells the processes apart that have had one address.
func connectionKey(server fleet.Server) string {
	return server.ID + "@" + server.Address + "/" + server.Started.String()
}

// connections is the number of connections to a server that this host may have.
func (call *call) connections(server fleet.Server) int {
	service, ok := call.table.Service(server.Service)
	if !ok || service.MaxConnections <= 0 {
		return 0
	}
	return call.front.options.Connections(service.MaxConnections)
}

// suspended logs that a server gets no requests for a while, if that is so.
func (front *Front) suspended(server fleet.Server, err error, now time.Time) {
	pause := front.options.Fleet.SuspendedFor(server.ID, now)
	if pause > 0 {
		front.options.Logger.Log(event.ServerSuspended(), logrus.Fields{
			"server": server.ID, "error": err.Error(), "for_ms": pause.Milliseconds(),
		})
	}
}

// giveUp ends a request that no server has served.
func (call *call) giveUp(late bool, reason string) {
	if call.gone() {
		call.left()
		return
	}
	if call.fallback != nil && !call.begun {
		call.passOn(*call.fallback)
		return
	}
	answer := unserved(call.state, late, reason)
	call.finish(&answer)
}

// finish answers the caller itself, or breaks the connection when a part of an
// answer is already on its way: it must not look complete.
func (call *call) finish(refusal *refusal) {
	if !call.begun {
		if call.state.NotRun() || refusal.status >= http.StatusInternalServerError && refusal.status != http.StatusServiceUnavailable {
			call.refuse(*refusal)
			return
		}
		answer := unserved(call.state, false, refusal.reason)
		call.refuse(answer)
		return
	}
	now := time.Now()
	call.log(event.AnswerBroken(), logrus.Fields{
		"route": call.work.Route.Name, "server": call.server, "events": call.events.count, "error": refusal.reason,
		"after_ms": now.Sub(call.work.Received).Milliseconds(),
	})
	call.end("broken", call.first)
	panic(http.ErrAbortHandler)
}

// left ends a request whose caller has gone.
func (call *call) left() {
	total := time.Since(call.work.Received)
	call.log(event.CallerLeft(), logrus.Fields{
		"route": call.work.Route.Name, "server": call.server, "state": call.state, "after_ms": total.Milliseconds(), "events": call.events.count,
	})
	call.end("caller_left", call.first)
	panic(http.ErrAbortHandler)
}
