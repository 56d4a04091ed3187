package front

import (
	"context"
	"net"
	"net/http"

	"primrosegw/io/leave"
)

// Handler returns a handler that tells callers in Leave that their connections will be closed.
func (heads *Heads) Handler(handler http.Handler) http.Handler { return heads.conns.Handler(handler) }

// Announce is leave.Conns.Announce for the server's connections.
func (heads *Heads) Announce() { heads.conns.Announce() }

// Leave is leave.Conns.Leave of the server's connections.
func (heads *Heads) Leave(ctx context.Context) error { return heads.conns.Leave(ctx) }

// End is leave.Conns.End of the server's connections.
func (heads *Heads) End(ctx context.Context) error { return heads.conns.End(ctx) }

// NetConn returns the connection below.
func (conn *headConn) NetConn() net.Conn { return conn.Conn }

// SetLinger sets what Close does with bytes that have not been sent.
func (conn *headConn) SetLinger(seconds int) error { return conn.Conn.(*leave.Conn).SetLinger(seconds) }

// CloseWrite closes the sending side, which net/http does before it closes a connection on which
// the caller still sends.
func (conn *headConn) CloseWrite() error { return conn.Conn.(*leave.Conn).CloseWrite() }

// announceClose tells the caller that the connection will be closed, if the host is draining.
func (call *call) announceClose() {
	if call.handler.drain.Load() != nil {
		call.writer.Header().Set("Connection", "close")
	}
}
