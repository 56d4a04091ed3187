package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/io/pipe"
)

// reportTimeout limits how long a server may take to say which process it is.
const reportTimeout = 300 * time.Millisecond

// maxChecksWithoutConn is the number of servers of a request that may close the connection after
// their report. The request is then sent on another one.
const maxChecksWithoutConn = 2

// maxLifeChecks is the number of connections on which a server is asked whether it still runs.
const maxLifeChecks = 3

/*
checkProcess asks the server at the other end of a connection which process it is. Afterwards the
connection can take a request. It fails with pipe.Unreachable if the process is not the registered
one, with pipe.Unsent if only the connection can't be used, and with the other kinds of package
pipe if the server does not answer. A server that does not say when it started is taken for the
registered process, and not asked again.

A server may start again under its ID and address with another version of its software. A request
that names the ID does not reveal that; until the new registration arrives, only the server can.
*/
func (handler *Handler) checkProcess(conn *pipe.Conn, server fleet.Server) error {
	deadline := time.Now().Add(reportTimeout)
	if _, err := conn.Send(handler.options.Headers.ReportRequest(server), deadline); err != nil {
		return err
	}
	response, err := conn.AwaitResponse(http.MethodGet, deadline)
	if err != nil {
		return err
	}
	body, readErr := io.ReadAll(io.LimitReader(response.Body, maxForeignBytes))
	info := handler.options.Headers.ParseResponse(response.StatusCode, response.Header)
	handler.observeLeaving(server, info)
	if info.ID != "" {
		return fault.New("front.check_process", pipe.Malformed, "a response to another request")
	}
	started, known := handler.options.Headers.ParseReport(body)
	if readErr != nil || !known {
		handler.options.Fleet.RecordMute(server)
	}
	if known && !started.Equal(server.Started) {
		if handler.options.Fleet.RecordReplaced(server) {
			handler.options.Logger.Log(event.ServerReplaced(), logrus.Fields{
				"server": server.ID, "registered_ms": server.Started.UnixMilli(), "started_ms": started.UnixMilli(),
			})
		}
		return fault.New("front.check_process", pipe.Unreachable, "another process is at the server's address")
	}
	if readErr == nil && known {
		handler.options.Fleet.ConfirmProcess(server)
	}
	if readErr != nil || len(body) == maxForeignBytes || !response.KeepAlive || !isDelimited(response) || !conn.Reuse(response.Header) {
		return fault.New("front.check_process", pipe.Unsent, "the connection can't be used again")
	}
	return nil
}

// reportsProcess reports whether a server can say which process it is.
func (call *call) reportsProcess(server fleet.Server) bool {
	service, ok := call.table.Service(server.Service)
	return ok && service.Engine != nil && !server.Started.IsZero() && !call.handler.options.Fleet.Mute(server.ID)
}

// mustCheckProcess reports whether the server must say which process it is before it gets the
// request on a connection: if the request goes on with a stream, if the server has broken off a
// connection before this one was opened, or if a stream begins that may go on elsewhere, while
// servers of several versions serve.
func (call *call) mustCheckProcess(conn *pipe.Conn, server fleet.Server) bool {
	switch {
	case !call.reportsProcess(server) || call.checksWithoutConn >= maxChecksWithoutConn:
		return false
	case call.events.lastID != "":
		return true
	case !conn.Dialed:
		return false
	case call.handler.options.Fleet.InDoubt(server.ID):
		return true
	case !call.work.Route.Resumable:
		return false
	}
	versions, _ := call.possibleVersions(time.Now())
	return len(versions) > 1
}

// hasEnded reports whether the server's process has ended with a response without a length or
// chunks, and logs on what evidence.
func (exchange *exchange) hasEnded() bool {
	check := endCheck{endedAt: time.Now(), connection: "none", outcome: "no_answer"}
	ended := exchange.askAfterEnd(&check)
	exchange.logEnd(check, ended)
	return ended
}

// endCheck is what is known about the end of a response that ended with its connection.
type endCheck struct {
	endedAt time.Time
	// connection is the kind of the connection on which the server was asked: none, kept or new.
	connection string
	// connectedAt and askedAt are when the connection was there, and when the question was sent;
	// zero: it was not.
	connectedAt, askedAt time.Time
	outcome              string
	err                  error
}

// logEnd logs and counts the end of a response that ended with its connection.
func (exchange *exchange) logEnd(check endCheck, ended bool) {
	verdict := "whole"
	if ended {
		verdict = "ended"
	}
	fields := logrus.Fields{
		"server": exchange.server.ID, "framing": "connection", "connection": check.connection, "outcome": check.outcome,
		"verdict": verdict, "took_ms": milliseconds(time.Since(check.endedAt)),
	}
	if !check.connectedAt.IsZero() {
		fields["opened_after_ms"] = milliseconds(check.connectedAt.Sub(check.endedAt))
	}
	if !check.askedAt.IsZero() {
		fields["asked_after_ms"] = milliseconds(check.askedAt.Sub(check.endedAt))
	}
	if check.err != nil {
		fields["error"] = check.err.Error()
	}
	exchange.call.log(event.ResponseEndJudged(), fields)
	exchange.call.handler.options.Meter.AddToCounter("connection_ends", "outcome", check.outcome, 1)
}

// milliseconds returns a duration in milliseconds with three decimals.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

/*
askAfterEnd reports whether the server's process has ended. It is asked for after a response without
a length that ended with its connection: the end of a process ends its connections, too, and the
response is then not complete.
*/
func (exchange *exchange) askAfterEnd(check *endCheck) bool {
	call := exchange.call
	for range maxLifeChecks {
		conn, err := call.handler.options.Pool.Get(context.Background(), connectionKey(exchange.server), exchange.server.Address, call.connectionLimit(exchange.server))
		if err != nil {
			check.connection, check.outcome, check.err = "none", "no_connection", err
			return fault.Is(err, pipe.Unreachable)
		}
		check.connectedAt, check.connection = time.Now(), "kept"
		if conn.Dialed {
			check.connection = "new"
		}
		if !call.reportsProcess(exchange.server) {
			conn.ReleaseUnused()
			check.outcome = "unasked"
			return false
		}
		check.askedAt = time.Now()
		if err = call.handler.checkProcess(conn, exchange.server); err == nil {
			conn.ReleaseUnused()
			check.outcome = "registered"
			if !call.reportsProcess(exchange.server) {
				check.outcome = "unnamed"
			}
			return false
		}
		conn.Discard()
		check.err = err
		if fault.Is(err, pipe.Unreachable) {
			check.outcome = "other_process"
			return true
		}
		if fault.Is(err, pipe.Unsent) {
			check.outcome = "unsent"
			return false
		}
	}
	check.outcome = "no_answer"
	return false
}
