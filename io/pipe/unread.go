package pipe

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Received returns the number of bytes that the server has sent on the connection, as far as they
// were read.
func (conn *Conn) Received() int64 { return conn.limiter.received.Load() }

// HasUnread reports whether the server has sent more than was read, as far as that has arrived.
func (conn *Conn) HasUnread() bool {
	if conn.reader.Buffered() > 0 {
		return true
	}
	socket, ok := conn.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// An error means that the connection is closed, and nothing more can be read.
	_ = raw.Read(func(fd uintptr) bool {
		count, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && count > 0
		return true
	})
	return unread
}
