// Package linger resets callers' connections that are closed within a response which ends with its connection.
// Closed in order, by a write timeout, the stop or the kill of the host, a part of such a response looks whole.
package linger

import (
	"context"
	"net"
	"net/http"
)

// setter is a connection for which can be set what closing it does with bytes that have not been sent.
type setter interface {
	SetLinger(seconds int) error
}

const (
	// lingerReset makes closing a connection, also at the end of the process, reset it.
	lingerReset = 0
	// lingerDefault makes closing a connection end it in order, after what was written.
	lingerDefault = -1
)

type contextKey struct{}

// ConnContext makes a caller's connection known to the handlers of its requests. A server needs it as its
// ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if conn := findSetter(conn); conn != nil {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	return ctx
}

// findSetter returns the connection, or the one below its TLS, if its lingering can be set.
func findSetter(conn net.Conn) setter {
	if found, ok := conn.(setter); ok {
		return found
	}
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return findSetter(secured.NetConn())
	}
	return nil
}

// Resetting is a caller's connection that whatever closes it resets. Its nil value is one that is not.
type Resetting struct {
	conn setter
}

// Reset makes closing the connection of a request reset it. It returns nil if that can't be set, or if the
// connection carries several requests.
func Reset(request *http.Request) *Resetting {
	conn, ok := request.Context().Value(contextKey{}).(setter)
	if !ok || request.ProtoMajor > 1 || conn.SetLinger(lingerReset) != nil {
		return nil
	}
	return &Resetting{conn: conn}
}

// CloseInOrder ends Reset for a whole response, once the kernel has all of it. If the caller does not take it, the
// connection is still reset.
func (resetting *Resetting) CloseInOrder(writer http.ResponseWriter) {
	if resetting == nil || http.NewResponseController(writer).Flush() != nil {
		return
	}
	// An error means that the connection has already failed.
	_ = resetting.conn.SetLinger(lingerDefault)
}
