package entry

import (
	"errors"
	"net"
	"sync"
	"time"
)

// GiveFirstHeadsTheirTime returns a listener whose connections may wait for the idle time before their
// first request. net/http counts the time from the opening of a connection as that of its first head
// (http.Server.ReadHeaderTimeout): a caller that opens connections before it needs them would be cut off
// within its first request. With isTLS, the time limit of the handshake stays.
func GiveFirstHeadsTheirTime(listener net.Listener, idle time.Duration, isTLS bool) net.Listener {
	return &firstHeadListener{Listener: listener, idle: idle, isTLS: isTLS}
}

type firstHeadListener struct {
	net.Listener
	idle  time.Duration
	isTLS bool
}

// Accept implements net.Listener.
func (listener *firstHeadListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &firstHeadConn{Conn: conn, idle: listener.idle, inHandshake: listener.isTLS}, nil
}

// firstHeadConn is a connection on which the first read deadline after the handshake is that of a head.
type firstHeadConn struct {
	net.Conn
	idle time.Duration

	mutex sync.Mutex
	// inHandshake: the next read deadline is that of a TLS handshake.
	inHandshake bool
	// headTime is the time of the first head from its first byte on; 0: it is not awaited.
	headTime time.Duration
	// begun: the first head has begun, or something else has set the deadline.
	begun bool
}

// SetReadDeadline implements net.Conn. The first deadline of a head holds from its first byte on.
func (conn *firstHeadConn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case conn.begun:
	case conn.headTime > 0:
		conn.begun = true
	case deadline.IsZero():
	case conn.inHandshake:
		conn.inHandshake = false
	case time.Until(deadline) > 0:
		conn.headTime = time.Until(deadline)
		deadline = time.Now().Add(max(conn.idle, conn.headTime))
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (conn *firstHeadConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if count > 0 && conn.headTime > 0 && !conn.begun {
		conn.begun = true
		// An error shows at the next read.
		_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.headTime))
	}
	return count, err
}

// NetConn returns the connection below.
func (conn *firstHeadConn) NetConn() net.Conn { return conn.Conn }

// CloseWrite ends the sending side, so that a caller reads a refusal before the connection is closed.
func (conn *firstHeadConn) CloseWrite() error {
	if inner, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that have not been sent.
func (conn *firstHeadConn) SetLinger(seconds int) error {
	if inner, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
