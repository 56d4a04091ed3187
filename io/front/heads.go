package front

import (
	"io"
	"net"
	"net/http"
	"time"

	"primrosegw/core/budget"
)

const (
	// freeHeadBytes is the part of a request's head that takes nothing from the budget: it is in the
	// buffer of the connection.
	freeHeadBytes = 4 << 10
	// requestHeadCost is the memory that a byte of a request's head may take.
	requestHeadCost = 4
	// maxRefusedHeadTime and maxRefusedHeadBytes limit how much of a refused head is read and dropped,
	// so that its caller reads the refusal.
	maxRefusedHeadTime  = time.Second
	maxRefusedHeadBytes = 1 << 20
	// refusedHead answers a request whose head does not fit into memory.
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Heads makes the heads of requests, which net/http reads before a handler runs, take their memory
// from a budget, and limits their time. The limits may change while connections are open.
type Heads struct {
	budget *budget.Budget
	times  func() HeadTimes
	// handler reports connections that the host closes; nil: nobody does.
	handler *Handler
}

// NewHeads returns a Heads with a budget, which asks times for the limits.
func NewHeads(budget *budget.Budget, times func() HeadTimes) *Heads {
	return &Heads{budget: budget, times: times}
}

// HeadTimes limits the time of a connection on which no request runs.
type HeadTimes struct {
	// Idle is the time until the first byte of a request. Head is the time from there to the end of its head.
	Idle, Head time.Duration
}

// Serve serves connections of a listener until the server is closed. It sets the server's ConnState,
// and its ConnContext, and takes the place of its time limits for heads and idle connections, which count the time before
// the first request of a connection as that of its head.
func (heads *Heads) Serve(server *http.Server, listener net.Listener) error {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			conn.(*headConn).endHead()
		case http.StateIdle:
			conn.(*headConn).beginHead()
		}
	}
	server.ConnContext = ConnContext
	return server.Serve(&headListener{Listener: listener, heads: heads})
}

type headListener struct {
	net.Listener
	heads *Heads
}

// Accept implements net.Listener.
func (listener *headListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	head := &headConn{Conn: conn, hold: listener.heads.budget.Open(budget.Heads()), times: listener.heads.times, caller: listener.heads.newCallerConn()}
	head.awaitHead()
	return head, nil
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
}

// Read implements net.Conn.
func (conn *headConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.caller.recordRead(count, err)
	if !conn.inHead {
		return count, err
	}
	if conn.read == 0 && count > 0 {
		// An error shows at the next read.
		_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.times().Head))
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
	// An error shows at the next read.
	_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.times().Idle))
}

// SetReadDeadline implements net.Conn. While a head is read, the limits of Heads hold instead.
func (conn *headConn) SetReadDeadline(deadline time.Time) error {
	if conn.inHead {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// SetLinger sets what Close does with bytes that have not been sent.
func (conn *headConn) SetLinger(seconds int) error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending side, which net/http does before it closes a connection on which
// the caller still sends.
func (conn *headConn) CloseWrite() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (conn *headConn) Close() error {
	conn.caller.recordClosed()
	conn.hold.Release()
	return conn.Conn.Close()
}
