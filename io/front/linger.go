package front

import (
	"context"
	"net"
	"net/http"
)

// lingerer is a connection for which can be set what closing it does with bytes that have not been sent.
type lingerer interface {
	SetLinger(seconds int) error
}

const (
	// lingerReset makes closing a connection, also at the end of the process, reset it.
	lingerReset = 0
	// lingerDefault makes closing a connection end it in order, after what was written.
	lingerDefault = -1
)

type connContextKey struct{}

// ConnContext makes a caller's connection known to the Handler, which resets it if it is closed within
// a response that has neither a length nor chunks. A server of a Handler needs it as its ConnContext;
// Heads.Serve sets it.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if conn, ok := conn.(lingerer); ok {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	return ctx
}

// endsWithConnection reports whether the caller may take the end of its connection for that of the
// response, as it has no chunks.
func (call *call) endsWithConnection() bool {
	return call.isUnframed || !call.request.ProtoAtLeast(1, 1)
}

// resetUntilWhole makes whatever closes the connection of such a response reset it, so that a part
// does not look whole. It is called before the head is written.
func (call *call) resetUntilWhole() {
	if conn, ok := call.request.Context().Value(connContextKey{}).(lingerer); ok && call.endsWithConnection() && conn.SetLinger(lingerReset) == nil {
		call.resets = conn
	}
}

// closeInOrder ends resetUntilWhole for a whole response, once the kernel has all of it. If the caller
// does not take it, the connection is still reset.
func (call *call) closeInOrder() {
	if call.resets == nil || http.NewResponseController(call.writer).Flush() != nil {
		return
	}
	// An error means that the connection has already failed.
	_ = call.resets.SetLinger(lingerDefault)
}
