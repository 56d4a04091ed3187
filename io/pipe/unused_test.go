package pipe_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/pipe"
)

// Guards against a request on a connection that its server closed while it was held without a request, and against a
// place among the server's connections that is never free again.
func TestConnectionThatWasClosedUnusedIsNotKept(t *testing.T) {
	address := serve(t, func(net.Conn, *bufio.Reader) {})
	pool := pipe.New(pipe.Options{})
	conn := get(t, pool, address)
	require.False(t, conn.AwaitQuiet(t.Context(), testDeadline()), "the server closes it")
	conn.ReleaseUnused()
	require.True(t, get(t, pool, address).Dialed)
	require.Eventually(t, func() bool { return pool.OpenConnections("key") <= 1 }, 2*time.Second, time.Millisecond)
}

// Guards against the same if the server closes the connection at the moment at which it is released.
func TestConnectionThatIsClosedWhileItIsReleasedLeavesNothingBehind(t *testing.T) {
	address := serve(t, func(net.Conn, *bufio.Reader) {})
	pool := pipe.New(pipe.Options{})
	for range 300 {
		get(t, pool, address).ReleaseUnused()
	}
	pool.CloseExpired(time.Now().Add(time.Hour))
	require.Eventually(t, func() bool { return pool.OpenConnections("key") == 0 }, 2*time.Second, time.Millisecond)
}

// Guards against a request on a connection that its server is about to close, as it said in its answer to a question.
func TestUnusedConnectionKeepsTheTimeOfItsLastAnswer(t *testing.T) {
	pool := pipe.New(pipe.Options{})
	conn := get(t, pool, serve(t, echo))
	_, _ = roundTrip(t, conn, "x")
	require.True(t, conn.Reuse(http.Header{"Keep-Alive": {"timeout=2"}}))
	conn.ReleaseUnused()
	pool.CloseExpired(time.Now().Add(time.Second))
	require.Equal(t, 1, pool.OpenConnections("key"))
	pool.CloseExpired(time.Now().Add(2 * time.Second))
	require.Eventually(t, func() bool { return pool.OpenConnections("key") == 0 }, 2*time.Second, time.Millisecond)
}
