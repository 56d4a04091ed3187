package relay_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"primrosegw/io/relay"
)

// Guards against a host that can open no socket, and says that it can't reach a server either.
func TestHostWithoutSocketsConfirmsNothing(t *testing.T) {
	for errno, kind := range map[syscall.Errno]relay.Kind{syscall.EMFILE: relay.Refused, syscall.ENFILE: relay.Refused, syscall.ECONNREFUSED: relay.Unreachable} {
		settings := options(startBackend(t, echo))
		settings.Dial = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
		}
		_, err := newDialer("a", secret).Dial(withTimeout(t), startServer(t, settings).Address(), target)
		requireKind(t, kind, err)
	}
}
