package front

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/fleet"
	"primrosegw/core/reach"
	"primrosegw/io/pipe"
)

// pathCheckInterval is the time between two checks of an attempt that gets no byte.
const pathCheckInterval = 100 * time.Millisecond

// pathWatch watches an attempt on a direct connection. If the server is silent, it probes the path to it,
// and if the path is down, it closes the connection.
type pathWatch struct {
	exchange *exchange
	process  string
	// limit is the number of connections to the server that may be open.
	limit int

	mutex sync.Mutex
	timer *time.Timer
	ended bool
	// broken: the connection was closed, because the path is down.
	broken bool
	// evidence is what was known of the path then.
	evidence reach.Evidence
	// received is the number of bytes that had arrived at silentSince.
	received    int64
	silentSince time.Time
}

// watchPath starts to watch the attempt. It is sent now.
func (exchange *exchange) watchPath() *pathWatch {
	call := exchange.call
	watch := &pathWatch{
		exchange: exchange, process: connectionKey(exchange.server), limit: call.connectionLimit(exchange.server),
		received: exchange.conn.Received(), silentSince: time.Now(),
	}
	if exchange.conn.Via != "" {
		watch.ended = true
		return watch
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(reach.SilenceBeforeProbe, watch.check)
	return watch
}

// check is called now and then until the attempt ends.
func (watch *pathWatch) check() {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if watch.ended {
		return
	}
	now, paths := time.Now(), watch.exchange.call.handler.options.Paths
	if received := watch.exchange.conn.Received(); received != watch.received {
		watch.received, watch.silentSince = received, now
	}
	if paths.Breaks(watch.process, watch.silentSince, now) {
		watch.ended, watch.broken = true, true
		watch.evidence = paths.EvidenceOf(watch.process, now)
		watch.exchange.conn.Close()
		return
	}
	if paths.TakeProbe(watch.process, watch.silentSince, now) {
		go watch.exchange.call.handler.probePath(watch.exchange.server.Address, watch.process, watch.limit)
	}
	watch.timer.Reset(pathCheckInterval)
}

// end stops the watch. The connection is not closed afterwards.
func (watch *pathWatch) end() {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.ended = true
	if watch.timer != nil {
		watch.timer.Stop()
	}
}

// isBroken reports whether the watch has closed the connection.
func (watch *pathWatch) isBroken() bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.broken
}

// addEvidence adds to the line on an attempt whose path was found cut what that was found from.
func (exchange *exchange) addEvidence(fields logrus.Fields) {
	watch := exchange.watch
	if watch == nil || !watch.isBroken() {
		return
	}
	// The watch has ended, so that nothing changes its evidence.
	fields["is_reached_elsewhere"], fields["tunnel_age_ms"] = watch.evidence.IsReachedElsewhere, watch.evidence.TunnelAgeMs
	fields["refuted_age_ms"], fields["byte_age_ms"] = watch.evidence.RefutedAgeMs, watch.evidence.ByteAgeMs
}

// probePath opens a connection to a silent server and asks a question on it, which shows whether its path is
// down, and keeps it for the next request. A failure says nothing new of the server: it may be down, and a request will tell.
func (handler *Handler) probePath(address, process string, limit int) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if conn, err := handler.options.Pool.Open(pipe.WithQuestion(ctx), process, address, limit); err == nil {
		conn.ReleaseUnused()
	}
}

// isPathAtFault reports whether the connection is direct and its end may be that of the path: the path to the
// server is down, or connections to several servers break. One that breaks for itself is at fault itself.
func (exchange *exchange) isPathAtFault() bool {
	paths := exchange.call.handler.options.Paths
	return exchange.conn.Via == "" && (paths.IsDown(connectionKey(exchange.server)) || paths.OwnInDoubt(time.Now()))
}

// recordBroken records a direct connection that has ended without a byte since it had so many.
func (handler *Handler) recordBroken(conn *pipe.Conn, server fleet.Server, receivedBefore int64) {
	if conn.Via == "" && conn.Received() == receivedBefore {
		handler.options.Paths.RecordBroken(connectionKey(server), receivedBefore == 0, time.Now())
	}
}

// judgeUnanswered records what a question without an answer on a connection says of the path.
func (call *call) judgeUnanswered(conn *pipe.Conn, server fleet.Server, receivedBefore int64, err error) {
	if conn.Via != "" || conn.Received() > receivedBefore {
		return
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		call.handler.recordBroken(conn, server, receivedBefore)
		return
	}
	now, process := time.Now(), connectionKey(server)
	if call.handler.options.Paths.TakeProbe(process, now.Add(-reportTimeout), now) {
		go call.handler.probePath(server.Address, process, call.connectionLimit(server))
	}
}
