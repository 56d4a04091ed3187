package front

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/poison"
	"primrosegw/io/pipe"
)

// fingerprint returns a hash that is the same when the request is sent again.
func (call *call) fingerprint() uint64 {
	if call.cachedFingerprint == 0 {
		call.cachedFingerprint = poison.Fingerprint(call.request.Method, call.request.RequestURI, call.work.Workspace, call.body)
	}
	return call.cachedFingerprint
}

// features returns what other requests may have in common with this one.
func (call *call) features() []uint64 {
	if call.cachedFeatures == nil {
		parts := make([]uint64, len(call.work.Parts))
		for index, part := range call.work.Parts {
			parts[index] = part.ID
		}
		call.cachedFeatures = poison.Features(call.fingerprint(), parts)
	}
	return call.cachedFeatures
}

// crashesServers reports whether the request, or others with a feature of it, have crashed
// so many servers that it must not run again.
func (call *call) crashesServers() bool {
	detector := call.handler.options.CrashDetector
	return detector.HasSuspects() && detector.Refuses(call.features(), time.Now())
}

// recordHarmless records that the request ran to completion without crashing a
// server.
func (call *call) recordHarmless() {
	if detector := call.handler.options.CrashDetector; detector.HasSuspects() {
		detector.ObserveCompletion(call.features(), time.Now())
	}
}

// recordRefusedConnection reports a server's crash to the crash detector if err is
// a refused connection. Other errors are ignored: they may be caused by the
// network, while a refused connection shows that the server's process is gone.
func (handler *Handler) recordRefusedConnection(server fleet.Server, err error, now time.Time) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if suspects := handler.options.CrashDetector.ObserveConnectionFailure(connectionKey(server), now); suspects > 0 {
		handler.options.Logger.Log(event.ServerCrashed(), logrus.Fields{"server": server.ID, "suspects": suspects})
	}
}

// probeTimeout limits how long a probe may take to connect, also if it has to wait for the end of
// another connection.
const probeTimeout = 2 * time.Second

// maxProbeConns is the number of connections of a probe. Another one follows only if the server closes
// the first at once.
const maxProbeConns = 2

// probe opens a connection to a server whose response broke off and keeps it for the next request.
// It detects a crash at once, without delaying a request. An idle connection would not do: a process
// that ends closes its connections one after another. It returns false if the server can't be reached.
func (handler *Handler) probe(server fleet.Server, limit int, reportsProcess bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range maxProbeConns {
		conn, err := handler.options.Pool.Open(ctx, connectionKey(server), server.Address, limit)
		if fault.Is(err, pipe.Unreachable) {
			handler.recordUnreachable(server, err)
			return false
		}
		if err != nil || handler.judgeProbe(conn, server, reportsProcess) {
			return true
		}
	}
	return true
}

// surviveTime is how long the connection of a probe must stay open to show that the process which
// accepted it has not ended, if the server does not report which process it is.
const surviveTime = 5 * time.Millisecond

// judgeProbe records that the process at the other end of a probe's connection runs, if it shows that,
// and releases the connection. It returns false if the server closed the connection at once, as one
// that has just ended does.
func (handler *Handler) judgeProbe(conn *pipe.Conn, server fleet.Server, reportsProcess bool) bool {
	switch {
	case reportsProcess:
		if handler.options.Fleet.InDoubt(server.ID) && handler.checkProcess(conn, server) != nil {
			// Another process may be at the other end.
			conn.Discard()
			return true
		}
	case !conn.AwaitQuiet(context.Background(), time.Now().Add(surviveTime)):
		conn.Discard()
		return false
	default:
		handler.recordSurvived(server, conn.OpenedAt)
	}
	conn.ReleaseUnused()
	return true
}

// recordSurvived records that a process of a server ran at a time.
func (handler *Handler) recordSurvived(server fleet.Server, at time.Time) {
	handler.options.Fleet.RecordSurvived(server, at)
	handler.options.CrashDetector.ObserveSurvived(connectionKey(server), at, time.Now())
}

// recordUnreachable records that a connection to a server could not be established.
func (handler *Handler) recordUnreachable(server fleet.Server, err error) {
	now := time.Now()
	handler.options.Fleet.RecordUnreachable(server.ID, now)
	handler.options.Fleet.DoubtProcess(server.ID, now)
	handler.logSuspension(server, err, now)
	handler.recordRefusedConnection(server, err, now)
}
