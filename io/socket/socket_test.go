package socket_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/socket"
)

const (
	// longBytes is more than the kernel's buffers of a connection take.
	longBytes = 24 << 20
	// soundSilence is how long a sound peer may be silent.
	soundSilence = 2 * time.Second
	// deadLimit is the time after which a write to a peer that takes nothing any more has failed.
	deadLimit = 8 * time.Second
)

// connect opens a connection with the options of both sides.
func connect(t *testing.T) (opened, accepted net.Conn) {
	t.Helper()
	listener, err := socket.Accepted().Listen(t.Context(), "tcp4", "127.0.0.1:0", nil)
	require.NoError(t, err)
	defer listener.Close()
	opened, err = socket.Opened().Dialer(time.Second).DialContext(t.Context(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = opened.Close()
		_ = accepted.Close()
	})
	return opened, accepted
}

// Guards against a user timeout that ends a connection whose peer is silent for a second or two while it
// has bytes to read, answers the kernel's probes, and goes on.
func TestPeerThatReadsNothingForAWhileGoesOn(t *testing.T) {
	for _, isOpened := range []bool{true, false} {
		t.Run(fmt.Sprint("opened ", isOpened), func(t *testing.T) {
			t.Parallel()
			writer, reader := connect(t)
			if !isOpened {
				writer, reader = reader, writer
			}
			written := make(chan error, 1)
			go func() {
				_, err := writer.Write(make([]byte, longBytes))
				written <- err
			}()
			time.Sleep(soundSilence)
			_, err := io.CopyN(io.Discard, reader, longBytes)
			require.NoError(t, err)
			require.NoError(t, <-written)
		})
	}
}

// Guards against an opened connection whose write never fails although its peer takes nothing any more.
func TestPeerThatReadsNothingIsGivenUp(t *testing.T) {
	t.Parallel()
	opened, _ := connect(t)
	require.NoError(t, opened.SetWriteDeadline(time.Now().Add(deadLimit)))
	begin := time.Now()
	_, err := opened.Write(make([]byte, longBytes))
	t.Logf("the write failed after %s: %v", time.Since(begin), err)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}
