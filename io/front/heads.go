package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"primrosegw/core/budget"
	"primrosegw/io/leave"
	"primrosegw/io/socket"
)

const (
	// freeHeadBytes is the part of a request's head that takes nothing from the budget: it is in the
	// buffer of the connection.
	freeHeadBytes = 4 << 10
	// requestHeadCost is the memory that a byte of a request's head may take.
	requestHeadCost = 4
	// lastLook is the part of a time limit that a connection gets in any case after its deadline was noticed. A
	// process that was held up until then reads what has arrived meanwhile.
	lastLook = 100 * time.Millisecond
	// evictedLook is the same for an idle connection whose place is taken. It covers a request that has been sent.
	evictedLook = 20 * time.Millisecond
	// acceptRetryDelay is the time between two tries to accept a connection while the host can open no socket.
	acceptRetryDelay = 20 * time.Millisecond
	// maxRefusedHeadTime and maxRefusedHeadBytes limit how much of a refused head is read and dropped,
	// so that its caller reads the refusal.
	maxRefusedHeadTime  = time.Second
	maxRefusedHeadBytes = 1 << 20
	// refusedHead answers a request whose head does not fit into memory.
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Heads makes the heads of requests, which net/http reads before a handler runs, take their memory
// from a budget, and limits their time. Responses tell callers how long an idle connection is kept. The limits
// may change while connections are open; a connection is kept for as long as its last response told.
type Heads struct {
	budget *budget.Budget
	times  func() HeadTimes
	// connections limits the idle connections; nil: they are not limited.
	connections *Connections
	// handler reports connections that the host closes; nil: nobody does.
	handler *Handler
	conns   *leave.Conns
}

// NewHeads returns a Heads with a budget, which asks times for the limits.
func NewHeads(budget *budget.Budget, times func() HeadTimes) *Heads {
	return &Heads{budget: budget, times: times, conns: leave.New(refusedHead)}
}

// LimitIdle makes the connections count for a limit, which several Heads may share. It is called before Serve.
func (heads *Heads) LimitIdle(connections *Connections) { heads.connections = connections }

// HeadTimes limits the time of a connection on which no request runs.
type HeadTimes struct {
	// Idle is the time until the first byte of a request. Head is the time from there to the end of its head.
	Idle, Head time.Duration
}

// Serve serves connections of a listener until the server is closed. It sets the server's ConnState and
// ConnContext, wraps its Handler, and takes the place of its time limits for heads and idle connections, which
// count the time before the first request of a connection as that of its head.
func (heads *Heads) Serve(server *http.Server, listener net.Listener) error {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		heads.conns.Track(conn, state)
		switch state {
		case http.StateActive:
			conn.(*headConn).endHead()
		case http.StateIdle:
			conn.(*headConn).beginHead()
		}
	}
	server.ConnContext = connContext
	server.Handler = heads.tellIdle(server.Handler)
	server.DisableGeneralOptionsHandler = true
	return server.Serve(&headListener{Listener: heads.conns.Listen(listener), heads: heads})
}

type headListener struct {
	net.Listener
	heads *Heads
}

// Accept implements net.Listener.
func (listener *headListener) Accept() (net.Conn, error) {
	conn, err := listener.accept()
	if err != nil {
		return nil, err
	}
	head := &headConn{Conn: conn, hold: listener.heads.budget.Open(budget.Heads()), times: listener.heads.times, caller: listener.heads.newCallerConn(), place: place{connections: listener.heads.connections}}
	head.place.connections.opened()
	head.awaitHead()
	return head, nil
}

// accept waits for a connection. While the host can open no socket, it makes room and tries again soon: net/http
// would wait for up to a second.
func (listener *headListener) accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if !socket.IsLacking(err) {
			return conn, err
		}
		listener.heads.connections.makeRoom()
		time.Sleep(acceptRetryDelay)
	}
}

// headConn is a caller's connection. The background read of net/http runs only between the states
// active and idle, so its fields need no lock.
type headConn struct {
	net.Conn
	hold  *budget.Hold
	times func() HeadTimes
	// caller tells why the connection is closed; nil if nobody wants to know.
	caller *callerConn
	// inHead: the bytes that are read belong to the head of a request. read is their number, and
	// taken what they have taken from the budget.
	inHead bool
	read   int64
	taken  int64
	// promised is the limit for the idle connection from which its last response told a time.
	promised time.Duration
	// until is the limit for the idle connection or the head, and isLastLook is set for its last part.
	until      time.Time
	isLastLook bool

	place place
}

// Read implements net.Conn.
func (conn *headConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if conn.inHead && errors.Is(err, os.ErrDeadlineExceeded) && count == 0 && !conn.isLastLook {
		conn.lookAgain()
		count, err = conn.Conn.Read(buffer)
	}
	conn.caller.recordRead(count, err)
	if !conn.inHead {
		return count, err
	}
	if conn.read == 0 && count > 0 {
		conn.place.endIdle()
		conn.limit(conn.times().Head)
	}
	conn.read += int64(count)
	if more := (conn.read-freeHeadBytes)*requestHeadCost - conn.taken; more > 0 {
		if conn.hold.Take(more) != nil {
			conn.refuse()
			return 0, io.EOF
		}
		conn.taken += more
	}
	return count, err
}

// limit sets the limit for the idle connection or the head.
func (conn *headConn) limit(after time.Duration) {
	conn.until, conn.isLastLook = time.Now().Add(after), false
	// An error shows at the next read.
	_ = conn.Conn.SetReadDeadline(conn.until.Add(-lastLook))
}

// lookAgain begins the last part of the limit. A read after its deadline fails even if bytes have arrived.
func (conn *headConn) lookAgain() {
	conn.isLastLook = true
	until := time.Now().Add(lastLook)
	if conn.place.lastLook() {
		until = time.Now().Add(evictedLook)
	} else if until.Before(conn.until) {
		until = conn.until
	}
	// An error shows at the next read.
	_ = conn.Conn.SetReadDeadline(until)
}

// refuse answers the request whose head is being read.
func (conn *headConn) refuse() {
	conn.caller.recordRefusedHead()
	// Errors mean that the caller has gone.
	_ = conn.SetDeadline(time.Now().Add(maxRefusedHeadTime))
	_, _ = io.WriteString(conn.Conn, refusedHead)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxRefusedHeadBytes))
}

// endHead is called when the head of a request has been read and before its handler runs.
func (conn *headConn) endHead() {
	conn.place.endIdle()
	conn.caller.recordHeadEnd()
	conn.inHead = false
	// An error shows at the next read.
	_ = conn.Conn.SetReadDeadline(time.Time{})
}

// beginHead is called when a request has ended and the connection stays open.
func (conn *headConn) beginHead() {
	conn.caller.recordIdle()
	conn.hold.Give(conn.taken)
	conn.read, conn.taken = 0, 0
	conn.awaitHead()
}

// awaitHead makes the bytes that are read from now on the head of a request.
func (conn *headConn) awaitHead() {
	conn.inHead = true
	conn.limit(max(conn.times().Idle, conn.promised))
	conn.place.beginIdle(conn)
}

// SetReadDeadline implements net.Conn. While a head is read, the limits of Heads hold instead.
func (conn *headConn) SetReadDeadline(deadline time.Time) error {
	if conn.inHead {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (conn *headConn) Close() error {
	conn.caller.recordClosed()
	conn.hold.Release()
	conn.place.closed()
	return conn.Conn.Close()
}
