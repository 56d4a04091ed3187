package front

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/io/pipe"
)

// reportTimeout limits how long a server may take to say which process it is.
const reportTimeout = 300 * time.Millisecond

// maxChecksWithoutConn is the number of connections of an attempt that may be closed before or right
// after the server's report. The request then goes to another server.
const maxChecksWithoutConn = 3

/*
checkProcess asks the server at the other end of a connection which process it is. Afterwards the
connection can take a request. It fails with pipe.Unreachable if the process is not the registered
one, with pipe.Unsent if only the connection can't be used, and with the other kinds of package
pipe if the server does not answer, or its answer says nothing. Afterwards a server that does not say
when it started counts as mute.

A server may start again under its ID and address with another version of its software. A request
that names the ID does not reveal that; until the new registration arrives, only the server can.
*/
func (handler *Handler) checkProcess(conn *pipe.Conn, server fleet.Server) error {
	var result error
	askedAt := time.Now()
	err := handler.askServer(conn, server, handler.options.Headers.ReportRequest(server), askedAt.Add(reportTimeout), func(answer serverAnswer) {
		result = handler.judgeProcess(conn, server, askedAt, answer)
	})
	return cmp.Or(err, result)
}

// judgeProcess returns the result of checkProcess for a server's answer.
func (handler *Handler) judgeProcess(conn *pipe.Conn, server fleet.Server, askedAt time.Time, answer serverAnswer) error {
	started := handler.options.Headers.ParseReport(answer.body).Started
	known := !started.IsZero()
	if !known {
		if err := handler.judgeSilence(server, answer); err != nil {
			return err
		}
	}
	if known && !started.Equal(server.Started) {
		handler.recordReplaced(server, started)
		return fault.New("front.check_process", pipe.Unreachable, "another process is at the server's address")
	}
	if known {
		confirm(conn, server)
		handler.options.Fleet.ConfirmProcess(server, askedAt)
		handler.options.Fleet.RecordReport(server, answer.reusable, time.Now())
		handler.recordSurvived(server, askedAt)
		handler.recordAlive(server)
	}
	if !answer.reusable {
		return fault.New("front.check_process", pipe.Unsent, "the connection can't be used again")
	}
	return nil
}

/*
judgeSilence judges an answer that does not name a process. It fails if the answer says nothing of the
server either, as it was cut or may have been, or is a failure. A server that always fails counts as
mute in the end; one that answers with 503 is starting.
*/
func (handler *Handler) judgeSilence(server fleet.Server, answer serverAnswer) error {
	isStream := answer.status == http.StatusOK && answer.isStream
	isFailure := answer.status >= http.StatusInternalServerError && answer.status != http.StatusNotImplemented ||
		answer.status == http.StatusTooManyRequests || answer.status == http.StatusRequestTimeout
	// A whole JSON text is not the beginning of a longer report.
	mayBeCut := answer.status == http.StatusOK && !answer.isDelimited && !json.Valid(answer.body)
	switch {
	case isStream:
		// It is no report, and need not end.
	case answer.readErr != nil:
		return fault.Wrap("front.check_process", pipe.Malformed, answer.readErr)
	case mayBeCut:
		return fault.New("front.check_process", pipe.Malformed, "the report may have been cut")
	case isFailure:
		if answer.isDelimited && answer.status != http.StatusServiceUnavailable {
			handler.options.Fleet.RecordFailedReport(server, time.Now())
		}
		return fault.New("front.check_process", pipe.Malformed, "the server can't say which process it is: status "+strconv.Itoa(answer.status))
	}
	handler.options.Fleet.RecordMute(server)
	return nil
}

// recordReplaced records that another process than the registered one is at a server's address.
func (handler *Handler) recordReplaced(server fleet.Server, started time.Time) {
	if handler.options.Fleet.RecordReplaced(server) {
		handler.options.Logger.Log(event.ServerReplaced(), logrus.Fields{
			"server": server.ID, "registered_ms": server.Started.UnixMilli(), "started_ms": started.UnixMilli(),
		})
		RecordProcessEnd(handler.options.CrashDetector, handler.options.Logger, server, time.Now())
	}
}

// processCheck says whether it is known which process is at the other end of a connection.
type processCheck string

const (
	// processReported: the server said which process it is right before the request was sent.
	processReported processCheck = "reported"
	// processConfirmed: it said so earlier on this connection.
	processConfirmed processCheck = "confirmed"
	// processUnasked: it was not asked on this connection.
	processUnasked processCheck = "unasked"
	// processMute: it does not say so.
	processMute processCheck = "mute"
)

// processName tells the software versions of a process apart. The process itself is named by the pool
// key of its connections.
func processName(server fleet.Server) string { return "version " + server.Version }

// confirm records that the registered process of a server has answered on a connection to it.
func confirm(conn *pipe.Conn, server fleet.Server) { conn.Process = processName(server) }

// isConfirmed reports whether the registered process of a server has answered on a connection to it.
func isConfirmed(conn *pipe.Conn, server fleet.Server) bool {
	return conn.Process == processName(server)
}

// processCheckOf returns what is known of the process at the other end of a connection for the log.
func (call *call) processCheckOf(conn *pipe.Conn, server fleet.Server, asked bool) processCheck {
	switch {
	case isConfirmed(conn, server) && asked:
		return processReported
	case isConfirmed(conn, server):
		return processConfirmed
	case !call.reportsProcess(server):
		return processMute
	}
	return processUnasked
}

// reportsProcess reports whether a server can say which process it is.
func (call *call) reportsProcess(server fleet.Server) bool {
	service, ok := call.table.Service(server.Service)
	return ok && service.Engine != nil && !server.Started.IsZero() && !call.handler.options.Fleet.Mute(server.ID, time.Now())
}

// mustCheckProcess reports whether the server must say which process it is before it gets the
// request on a connection on which it has not said so: if the request goes on with a stream, if
// the server has broken off a connection before this one was opened, or if a stream begins that may
// go on elsewhere. That holds with one known version, too: the registration of the next one may be
// on its way.
func (call *call) mustCheckProcess(conn *pipe.Conn, server fleet.Server) bool {
	switch {
	case isConfirmed(conn, server) || !call.reportsProcess(server):
		return false
	case call.goesOn():
		return true
	case conn.Dialed && call.handler.options.Fleet.InDoubt(server.ID):
		return true
	}
	return call.work.Route.Resumable
}
