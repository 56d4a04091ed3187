package pipe

import (
	"syscall"

	"golang.org/x/sys/unix"
)

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
