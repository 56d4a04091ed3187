package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/poison"
)

// RecordProcessEnd reports to the crash detector that the registered process of a server has
// ended: another process has taken its place, or its registration has lapsed. A server that is
// leaving ends by itself, so that is no crash.
func RecordProcessEnd(detector *poison.CrashDetector, logger *event.Logger, server fleet.Server, now time.Time) {
	if server.Leaving {
		return
	}
	if suspects := detector.ObserveProcessEnd(connectionKey(server), now); suspects > 0 {
		logger.Log(event.ServerCrashed(), logrus.Fields{"server": server.ID, "suspects": suspects})
	}
}

// recordUnanswered records an attempt that ended because its deadline passed or its caller left. Its
// server may have gone dark, which shows only later.
func (exchange *exchange) recordUnanswered(now time.Time) {
	exchange.call.handler.options.CrashDetector.ObserveUnanswered(connectionKey(exchange.server), exchange.call.features(), exchange.started, now)
}

// recordLastEvent records when the server's process last sent an event of a stream that broke off.
func (exchange *exchange) recordLastEvent() {
	if lastEventAt := exchange.call.lastEventAt; lastEventAt.After(exchange.started) {
		exchange.recordAlive(lastEventAt)
	}
}

// recordAlive records that the process at the other end of the connection has sent something. Unless the
// server says which one it is, or can't say so, that is the registered one only as far as it was when the
// connection was opened.
func (exchange *exchange) recordAlive(at time.Time) {
	call, server := exchange.call, exchange.server
	if call.handler.options.Fleet.InDoubt(server.ID) {
		return
	}
	var openedAt time.Time
	if !isConfirmed(exchange.conn, server) && call.reportsProcess(server) {
		openedAt = exchange.conn.OpenedAt
	}
	call.handler.options.CrashDetector.ObserveAnswer(connectionKey(server), openedAt, at)
}

// recordAlive records that the server's process has said which one it is. While it is in doubt which
// process is at the server's address, a response says nothing of the registered one.
func (handler *Handler) recordAlive(server fleet.Server) {
	if !handler.options.Fleet.InDoubt(server.ID) {
		handler.options.CrashDetector.ObserveAlive(connectionKey(server), time.Now())
	}
}
