package dial_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/dial"
)

// Guards against servers and paths that are blamed because this host cannot open a socket.
func TestHostWithoutSocketsBlamesNoServer(t *testing.T) {
	answer := way{delay: 5 * time.Millisecond}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		noSocket := way{err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}}
		for name, helpers := range map[string][]way{
			"no helper": nil, "helper answers": {answer}, "no socket for a helper": {noSocket}, "helper can't reach it": {{err: errUnreachable}},
		} {
			t.Run(errno.Error()+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					play := newPlay(noSocket, helpers...)
					_, _, err := play.dial(t, "p")
					if name == "helper answers" {
						require.NoError(t, err)
					} else {
						kind := dial.NoPath
						if name == "helper can't reach it" {
							kind = dial.Unreachable
						}
						require.Equal(t, kind, fault.KindOf[dial.Kind](err))
					}
					require.False(t, play.paths.IsDown("p"))
					require.False(t, play.paths.InDoubt("p", time.Now()))
				})
			})
		}
	}
}

// Guards against a further dial without a socket that is taken for proof that a path is down.
func TestRedialWithoutSocketsRefutesNothing(t *testing.T) {
	for _, play := range []struct {
		err     error
		refutes bool
	}{{syscall.ECONNREFUSED, true}, {syscall.EMFILE, false}} {
		synctest.Test(t, func(t *testing.T) {
			dialer := newPlay(way{err: &net.OpError{Op: "dial", Err: play.err}}, way{delay: time.Millisecond})
			silent := time.Now()
			time.Sleep(10 * time.Second)
			dialer.paths.RecordDown("p", time.Now())
			time.Sleep(time.Second)
			dialer.Redial(context.Background(), "p", "address")
			time.Sleep(time.Second)
			require.Equal(t, play.refutes, dialer.paths.Breaks("p", silent, time.Now()))
		})
	}
}
