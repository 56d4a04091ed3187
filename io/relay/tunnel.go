package relay

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"primrosegw/core/fault"
)

const (
	// resetCheckInterval is the time between two checks whether a connection was reset. Reads and
	// writes notice a reset themselves, unless one side sends what the other one does not take.
	resetCheckInterval = 20 * time.Millisecond
	// lastBytesTimeout is how long the bytes that a side sent before it reset the connection may take
	// to the other side.
	lastBytesTimeout = 50 * time.Millisecond
	// kernelBufferBytes limits what the kernel holds in a direction of a connection if the other side is
	// slow. It is what a direct connection holds unsent for a slow caller.
	kernelBufferBytes = 128 << 10
	// tcpStateClosed is TCP_CLOSE of Linux's tcp_states.h.
	tcpStateClosed = 7
)

// stream is what a tunnel needs of a TCP connection.
type stream interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// prepare limits the bytes that the kernel holds for a connection of a tunnel, and sets a linger time of
// 0: the kernel then resets the connection if the process ends. An orderly end is announced with
// CloseWrite. Errors mean that the connection is closed, and its next use fails.
func prepare(conn stream) {
	_ = conn.SetReadBuffer(kernelBufferBytes)
	_ = conn.SetWriteBuffer(kernelBufferBytes)
	_ = conn.SetLinger(0)
}

// leg is one of the two connections of a tunnel.
type leg struct {
	stream
	// finished is set when this process ends the direction towards the peer.
	finished atomic.Bool
}

// ending is the end of a direction.
type ending struct {
	to, from *leg
	err      error
}

/*
copyBothWays copies between two connections until both directions have ended, and closes them. The end
of one direction is passed on as such. If a connection is reset or fails, both are closed at once.

The connections have a linger time of 0, so that closing them sends a reset. Only if both directions
have ended in order, the linger time is removed before.
*/
func copyBothWays(first, second stream) {
	a, b := &leg{stream: first}, &leg{stream: second}
	endings, ended := make(chan ending, 2), make(chan struct{})
	defer close(ended)
	go closeAfterReset(a, b, ended)
	go func() { endings <- ending{b, a, copyOneWay(b, a)} }()
	go func() { endings <- ending{a, b, copyOneWay(a, b)} }()
	for left := 1; left >= 0; left-- {
		if one := <-endings; one.err != nil {
			abort(one, endings, left)
			return
		}
	}
	closeInOrder(a)
	closeInOrder(b)
}

// abort closes both connections after a direction has failed, and waits for the other one if it is
// left. If the failed direction could not be written, the peer may have sent bytes before its reset:
// they are still passed on.
func abort(failed ending, endings <-chan ending, left int) {
	if left > 0 && failed.to.isClosed() && !failed.from.isClosed() {
		timer := time.NewTimer(lastBytesTimeout)
		defer timer.Stop()
		select {
		case <-endings:
			left--
		case <-timer.C:
		}
	}
	_ = failed.to.Close()
	_ = failed.from.Close()
	for range left {
		<-endings
	}
}

// copyOneWay copies until the end of the source and passes the end on.
func copyOneWay(to, from *leg) error {
	// For two TCP connections, io.Copy splices in the kernel.
	if _, err := io.Copy(to.stream, from.stream); err != nil {
		return err
	}
	if from.wasReset() {
		return fault.New("relay.copy", Lost, "the connection was reset")
	}
	to.finished.Store(true)
	return to.CloseWrite()
}

// wasReset reports, after the end of what the peer sends, whether that was a reset. The kernel reports
// a reset as an error once only: if the other direction has got it, a read returns an orderly end. A
// connection of which this process has ended its direction is closed in order as well.
func (leg *leg) wasReset() bool { return leg.isClosed() && !leg.finished.Load() }

// isClosed reports whether both directions of the connection have ended, in whatever way. It is false
// after Close.
func (leg *leg) isClosed() bool {
	closed := false
	leg.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpStateClosed
	})
	return closed
}

// hasError reports whether the connection has an error that no read or write has returned yet.
func (leg *leg) hasError() bool {
	found := false
	leg.control(func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd)}}
		count, err := unix.Poll(polled, 0)
		found = err == nil && count > 0 && polled[0].Revents&unix.POLLERR != 0
	})
	return found
}

// control calls action with the descriptor of the connection, unless it is closed.
func (leg *leg) control(action func(fd int)) {
	raw, err := leg.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { action(int(fd)) })
}

// closeInOrder closes a connection without a reset. It has no effect on a closed one.
func closeInOrder(conn stream) {
	_ = conn.SetLinger(-1)
	_ = conn.Close()
}

// closeAfterReset closes both connections when one of them has an error that neither direction takes,
// because both wait for the other connection. It returns when ended is closed.
func closeAfterReset(a, b *leg, ended <-chan struct{}) {
	ticker := time.NewTicker(resetCheckInterval)
	defer ticker.Stop()
	for hadError := false; ; {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		hasError := a.hasError() || b.hasError()
		if hasError && hadError {
			_ = a.Close()
			_ = b.Close()
			return
		}
		hadError = hasError
	}
}
