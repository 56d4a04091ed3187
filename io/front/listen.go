package front

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"primrosegw/io/pipe"
)

// maxUnsentBytes limits what the kernel takes of a response beyond what can be sent at once. Without
// it, it takes several MB for a caller that reads slowly.
const maxUnsentBytes = 128 << 10

// Listen opens a listener for callers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitUnsent}
	// Connections accepted from a multipath listener do not inherit the option.
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp4", address)
}

// limitUnsent sets TCP_NOTSENT_LOWAT, which accepted connections inherit.
func limitUnsent(_, _ string, raw syscall.RawConn) error {
	return pipe.SetTCPOption(raw, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
}
