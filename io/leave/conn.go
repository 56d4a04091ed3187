package leave

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// waiting: no byte of the next request has been read.
	waiting phase = iota
	// arriving: a part of the head has been read.
	arriving
	// answering: the head has been read, and the response has not ended.
	answering
)

// Conn is a connection of a server.
type Conn struct {
	net.Conn
	conns *Conns
	// isClosed makes Close end the connection once.
	isClosed sync.Once

	mutex sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// resets: closing the connection is to reset it.
	resets bool
}

// find returns the Conn below a connection, nil if there is none.
func find(conn net.Conn) *Conn {
	if found, ok := conn.(*Conn); ok {
		return found
	}
	if outer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return find(outer.NetConn())
	}
	return nil
}

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (int, error) {
	for {
		count, err := conn.Conn.Read(buffer)
		if count > 0 {
			conn.noteArrival()
		}
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !conn.goesOn() {
			return count, err
		}
	}
}

// noteArrival records that bytes have been read.
func (conn *Conn) noteArrival() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == waiting {
		conn.begin(arriving)
	}
}

// goesOn reports whether a read whose time is over is repeated. If a request has begun to arrive that is not
// read, it refuses that.
func (conn *Conn) goesOn() bool {
	stage := conn.conns.at()
	if stage == serving || conn.isServersDeadline() {
		return false
	}
	wasWaiting := conn.isWaiting()
	if wasWaiting && !hasUnread(conn.Conn) {
		return false
	}
	if wasWaiting && stage == leaving {
		conn.enter(arriving)
		return true
	}
	conn.refuse()
	return false
}

func (conn *Conn) isWaiting() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.phase == waiting
}

// isServersDeadline reports whether the time that the server has set is over.
func (conn *Conn) isServersDeadline() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.phase == answering || !conn.deadline.IsZero() && !time.Now().Before(conn.deadline)
}

// refuse answers a request that has not been read whole. Errors mean that the caller has gone.
func (conn *Conn) refuse() {
	if conn.conns.refusal == "" {
		return
	}
	_ = conn.Conn.SetDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(conn.Conn, conn.conns.refusal)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxRefusedBytes))
}

// enter begins a phase.
func (conn *Conn) enter(next phase) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.begin(next)
}

// begin is enter with the mutex held.
func (conn *Conn) begin(next phase) {
	conn.phase, conn.since = next, time.Now()
	conn.apply()
}

// limitRead applies the stage of the server.
func (conn *Conn) limitRead() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.apply()
}

// apply sets the read deadline: the server's, or an earlier one of the stage. The mutex is held.
func (conn *Conn) apply() {
	deadline := conn.deadline
	if limit := conn.limit(); !limit.IsZero() && (deadline.IsZero() || limit.Before(deadline)) {
		deadline = limit
	}
	// An error shows at the next read.
	_ = conn.Conn.SetReadDeadline(deadline)
}

// limit returns until when the connection is read in this phase; zero: no limit.
func (conn *Conn) limit() time.Time {
	switch stage := conn.conns.at(); {
	case stage == serving || conn.phase == answering:
		return time.Time{}
	case stage == ending:
		return time.Unix(1, 0)
	case conn.phase == waiting:
		return conn.since.Add(quietTime)
	default:
		return conn.since.Add(maxHeadTime)
	}
}

// SetReadDeadline implements net.Conn.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.deadline = deadline
	conn.apply()
	return nil
}

// SetDeadline implements net.Conn.
func (conn *Conn) SetDeadline(deadline time.Time) error {
	_ = conn.SetReadDeadline(deadline)
	return conn.SetWriteDeadline(deadline)
}

// SetLinger sets what Close does with bytes that have not been sent.
func (conn *Conn) SetLinger(seconds int) error {
	conn.mutex.Lock()
	conn.resets = seconds == 0
	conn.mutex.Unlock()
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending side.
func (conn *Conn) CloseWrite() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the caller has sent its next request behind the one that was answered, closing resets
// the connection, as that request is unread, and the kernel drops what it has not sent of the answer. So the answer
// goes first.
func (conn *Conn) Close() error {
	var err error
	conn.isClosed.Do(func() {
		if !conn.endsAnswer() || !hasUnread(conn.Conn) {
			err = conn.end()
			return
		}
		go func() {
			conn.awaitSent()
			// An error means that the caller has gone.
			_ = conn.end()
		}()
	})
	return err
}

// endsAnswer reports whether the connection is closed behind an answer and not to be reset.
func (conn *Conn) endsAnswer() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.phase == answering && !conn.resets
}

// awaitSent waits until the caller's kernel has all that was written.
func (conn *Conn) awaitSent() {
	for until := time.Now().Add(sendTime); hasUnsent(conn.Conn) && time.Now().Before(until); {
		time.Sleep(sendPollInterval)
	}
}

func (conn *Conn) end() error {
	defer conn.conns.remove(conn)
	return conn.Conn.Close()
}
