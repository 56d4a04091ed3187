package front

import (
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/origin"
	"primrosegw/io/pipe"
)

const (
	// registrationTime is how long after a process has taken a server's address its registration
	// may be missing in the store. Registrations reach a host within 0.5 s.
	registrationTime = time.Second
	// settlePatience is how much longer a stream waits until it is known which process a connection
	// reached, and settlePoll how often it looks.
	settlePatience = time.Second
	settlePoll     = 50 * time.Millisecond
	// settleTime limits the time from the end of a response, or the opening of its connection, until it is known
	// which process sent it.
	settleTime = registrationTime + settlePatience
	// slowSettlePoll replaces settlePoll while nothing waits for the answer.
	slowSettlePoll = 500 * time.Millisecond
	// maxSettleTime is how long a host tries to find out which process began a stream.
	maxSettleTime = 10 * time.Second
)

// Registrations says how recent the host's copy of the servers' registrations is.
type Registrations interface {
	// CurrentAsOf returns a time before which every write is in the copy.
	CurrentAsOf() time.Time
	// Refresh makes that time advance soon.
	Refresh()
}

// unsettled is a stream that began at a process which is not known to be the registered one.
type unsettled struct {
	server   fleet.Server
	openedAt time.Time
}

// knowsProcess reports whether the process at the other end of a connection is known to be the
// registered one of a server.
func (handler *Handler) knowsProcess(conn *pipe.Conn, server fleet.Server) bool {
	return isConfirmed(conn, server) || handler.isSettled(server, conn.OpenedAt)
}

/*
isSettled reports whether the process that a connection reached is known to be the registered one of
a server without its word: if another one had been at the address when the connection was opened,
its registration would have arrived.
*/
func (handler *Handler) isSettled(server fleet.Server, openedAt time.Time) bool {
	// The copy's age is read first: what is read afterwards is at least as recent.
	isCurrent := !handler.options.Registrations.CurrentAsOf().Before(openedAt.Add(registrationTime))
	since, isRegistered := handler.options.Fleet.RegisteredSince(server)
	return isCurrent && isRegistered && !since.After(openedAt)
}

// maySettle reports whether it can still become known that a connection reached the registered
// process of a server.
func (handler *Handler) maySettle(server fleet.Server, openedAt time.Time) bool {
	since, isRegistered := handler.options.Fleet.RegisteredSince(server)
	return isRegistered && !since.After(openedAt)
}

// needsProcess reports whether it must be known which process gets the request: if it goes on with a
// stream that may have begun at several versions.
func (call *call) needsProcess() bool { return call.goesOn() && !call.isOnlyVersion() }

// isOnlyVersion reports whether no other version than one can be meant.
func (call *call) isOnlyVersion() bool {
	_, isOnly := call.onlyVersion()
	return isOnly
}

// awaitProcess waits until it is known which process is at the other end of a connection, if the
// request needs to know. If it reports false, the connection is not the request's any more.
func (call *call) awaitProcess(conn *pipe.Conn, server fleet.Server) bool {
	handler := call.handler
	if handler.knowsProcess(conn, server) || !call.needsProcess() {
		return true
	}
	settledAt := conn.OpenedAt.Add(registrationTime)
	maySettle := handler.maySettle(server, conn.OpenedAt) && conn.AwaitQuiet(call.ctx, settledAt)
	giveUpAt := time.Now().Add(settlePatience)
	for ; maySettle && time.Now().Before(giveUpAt) && call.ctx.Err() == nil; time.Sleep(settlePoll) {
		if handler.knowsProcess(conn, server) {
			return true
		}
		handler.options.Registrations.Refresh()
	}
	conn.Discard()
	call.unknownProcess = true
	return false
}

// awaitOrigin waits until it is known where the stream began that the host is to go on with, and
// reports whether it is.
func (call *call) awaitOrigin() bool {
	began := call.unsettled
	if began == nil || call.events.lastID == "" || call.isOnlyVersion() {
		return true
	}
	giveUpAt := began.openedAt.Add(settleTime)
	for !call.handler.isSettled(began.server, began.openedAt) {
		if time.Now().After(giveUpAt) || call.ctx.Err() != nil || !call.handler.maySettle(began.server, began.openedAt) {
			return false
		}
		call.handler.options.Registrations.Refresh()
		time.Sleep(settlePoll)
	}
	call.unsettled = nil
	return true
}

// originPatience returns how long it may take until the host that began a stream knows at which
// process: not at all if all servers say so, or if that makes no difference.
func (call *call) originPatience(now time.Time) time.Duration {
	if _, isSingle := call.singleVersion(now); isSingle {
		return 0
	}
	for _, member := range call.handler.options.Fleet.Members(call.work.Service, now) {
		if !call.reportsProcess(member.Server) {
			return settleTime
		}
	}
	return 0
}

// settleOrigin tells where a stream began, once it is known which process began it.
func (handler *Handler) settleOrigin(began unsettled, tell func(), hasChoice func() bool) {
	giveUpAt := began.openedAt.Add(registrationTime + maxSettleTime)
	timer := time.NewTimer(time.Until(began.openedAt.Add(registrationTime)))
	defer timer.Stop()
	for handler.maySettle(began.server, began.openedAt) && time.Now().Before(giveUpAt) {
		select {
		case <-timer.C:
		case <-handler.stopping.Done():
			return
		}
		if handler.isSettled(began.server, began.openedAt) {
			tell()
			return
		}
		if !hasChoice() {
			timer.Reset(slowSettlePoll)
			continue
		}
		handler.options.Registrations.Refresh()
		timer.Reset(settlePoll)
	}
}

// recordOrigin records where the stream began that an exchange relays. If the stream may be resumed,
// it tells the other hosts, as soon as it is known that the registered process began it.
func (exchange *exchange) recordOrigin() {
	call, handler, server := exchange.call, exchange.call.handler, exchange.server
	if call.origin != nil {
		return
	}
	began := origin.Origin{Service: server.Service, Version: server.Version}
	// A new configuration may allow later that the stream is resumed.
	call.origin = &began
	workspace, requestID, waits, isResumable := call.work.Workspace, call.work.ID, call.callerWaits(), call.work.Route.Resumable
	tell := func() { handler.options.Origins.Record(workspace, requestID, began, waits, time.Now()) }
	if handler.knowsProcess(exchange.conn, server) {
		if isResumable {
			tell()
		}
		return
	}
	call.unsettled = &unsettled{server: server, openedAt: exchange.conn.OpenedAt}
	if isResumable {
		timeout := call.work.Route.Timeout
		go handler.settleOrigin(*call.unsettled, tell, func() bool {
			versions, complete := handler.possibleVersions(server.Service, timeout, time.Now())
			return !complete || len(versions) > 1
		})
	}
}
