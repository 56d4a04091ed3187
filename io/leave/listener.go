package leave

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptTime limits how long a listener that is closed waits until the server has accepted the
	// connections that the kernel has, which closing the listener would reset.
	acceptTime = 100 * time.Millisecond
	// acceptPollInterval is how often it looks.
	acceptPollInterval = time.Millisecond
)

// Listen returns a listener whose connections are held until they are closed. Once it is closed by Leave,
// Accept fails with http.ErrServerClosed.
func (conns *Conns) Listen(inner net.Listener) net.Listener {
	listener := &listener{Listener: inner, conns: conns}
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	conns.listeners = append(conns.listeners, listener)
	return listener
}

type listener struct {
	net.Listener
	conns *Conns
	close sync.Once
}

// Accept implements net.Listener.
func (listener *listener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if errors.Is(err, net.ErrClosed) && listener.conns.at() != serving {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: accepted, conns: listener.conns}
	listener.conns.add(conn)
	conn.enter(waiting)
	return conn, nil
}

// Close implements net.Listener.
func (listener *listener) Close() error {
	var err error
	listener.close.Do(func() { err = listener.Listener.Close() })
	return err
}

// closeEmpty closes the listener when the server has accepted all connections of the kernel.
func (listener *listener) closeEmpty() {
	for until := time.Now().Add(acceptTime); hasUnaccepted(listener.Listener) && time.Now().Before(until); {
		time.Sleep(acceptPollInterval)
	}
	// An error means that the server has closed it.
	_ = listener.Close()
}

// hasUnaccepted reports whether the kernel has a connection that has not been accepted.
func hasUnaccepted(listener net.Listener) bool {
	return control(listener, func(descriptor int) bool {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		return ready > 0 && err == nil
	})
}

// hasUnread reports whether the kernel has bytes of a connection that have not been read.
func hasUnread(conn net.Conn) bool {
	return control(conn, func(descriptor int) bool {
		count, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return count > 0 && err == nil
	})
}

// hasUnsent reports whether the kernel has bytes of a connection that the peer has not acknowledged.
func hasUnsent(conn net.Conn) bool {
	return control(conn, func(descriptor int) bool {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.Unacked+info.Notsent_bytes > 0
	})
}

// control calls look with the descriptor of a socket, and returns false if there is none.
func control(socket any, look func(descriptor int) bool) bool {
	owner, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(descriptor uintptr) { found = look(int(descriptor)) })
	return found && err == nil
}
