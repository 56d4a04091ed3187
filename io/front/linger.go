package front

import (
	"context"
	"net"

	"primrosegw/io/linger"
)

// ConnContext makes a caller's connection known to the Handler, which resets it if it is closed within
// a response that has neither a length nor chunks. A server of a Handler needs it as its ConnContext;
// Heads.Serve sets it.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return withCallerConn(linger.ConnContext(ctx, conn), conn)
}

// endsWithConnection reports whether the caller may take the end of its connection for that of the
// response, as it has no chunks.
func (call *call) endsWithConnection() bool {
	return call.isUnframed || !call.request.ProtoAtLeast(1, 1)
}

// resetUntilWhole makes whatever closes the connection of such a response reset it, so that a part
// does not look whole. It is called before the head is written.
func (call *call) resetUntilWhole() {
	if call.endsWithConnection() {
		call.resets = linger.Reset(call.request)
	}
}

// closeInOrder ends resetUntilWhole for a whole response.
func (call *call) closeInOrder() { call.resets.CloseInOrder(call.writer) }
