package front

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"primrosegw/io/socket"
)

// maxUnsentBytes limits what the kernel takes of a response beyond what can be sent at once. Without
// it, it takes several MB for a caller that reads slowly.
const maxUnsentBytes = 128 << 10

// Listen opens a listener for callers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return socket.Accepted().Listen(ctx, "tcp4", address, limitUnsent)
}

// limitUnsent sets TCP_NOTSENT_LOWAT, which accepted connections inherit.
func limitUnsent(raw syscall.RawConn) error {
	return socket.SetTCPOption(raw, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
}
