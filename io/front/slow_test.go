package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dial opens a connection to the handler as a caller.
func (harness *harness) dial() net.Conn {
	harness.t.Helper()
	conn, err := net.Dial("tcp4", harness.server.Listener.Addr().String())
	require.NoError(harness.t, err)
	harness.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func requestHead(path, id string, timeoutMs, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Key: key\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, id, timeoutMs, length)
}

// requireNoneInFlight waits until the handler has ended all requests.
func (harness *harness) requireNoneInFlight(within time.Duration) {
	harness.t.Helper()
	require.Eventually(harness.t, func() bool { return harness.handler.InFlight() == 0 }, within, 10*time.Millisecond)
}

// Guards against a caller that stops reading a stream and so holds a request, a
// connection to a backend server and its slot until it closes its own connection.
func TestCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		writeResponse(conn, http.StatusOK, request.Header.Get("X-Id"), []string{signed, "Content-Type: text/event-stream", "Connection: close"}, "")
		for number := 1; ; number++ {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", number, strings.Repeat("x", 8<<10)); err != nil {
				return
			}
		}
	})
	conn := harness.dial()
	_, err := io.WriteString(conn, requestHead("/stream/", "slow", 500, 0))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return harness.handler.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	harness.requireNoneInFlight(15 * time.Second)
}

// Guards against a caller that sends a byte of its body now and then, which would hold
// the request for as long as it likes.
func TestBodyThatTrickles(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(http.StatusOK, "fine", signed))
	conn := harness.dial()
	_, err := io.WriteString(conn, requestHead("/once/", "slow", 500, 1000))
	require.NoError(t, err)
	go func() {
		for err == nil {
			time.Sleep(50 * time.Millisecond)
			_, err = conn.Write([]byte("x"))
		}
	}()
	require.Eventually(t, func() bool { return harness.handler.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	harness.requireNoneInFlight(5 * time.Second)
	require.Empty(t, harness.requestsReceived())
}

// Guards against the limits of an earlier request on a kept connection: they must not cut
// off the answer to the next one, even if that is refused before its route is known.
func TestLimitsOfAnEarlierRequest(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(http.StatusOK, "fine", signed))
	conn := harness.dial()
	reader := bufio.NewReader(conn)
	for number, want := range []int{http.StatusOK, http.StatusNotFound, http.StatusOK} {
		path := map[int]string{http.StatusOK: "/once/", http.StatusNotFound: "/unknown/"}[want]
		_, err := io.WriteString(conn, requestHead(path, fmt.Sprint("r", number), 300, 2)+"ab")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode)
		time.Sleep(5500 * time.Millisecond)
	}
}

// Guards against a host that was paused while it connected to a server and then sends a
// request although its proof of the configuration has lapsed: the key may have been
// revoked meanwhile.
func TestProofLapsesWhileConnecting(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(http.StatusOK, "fine", signed))
	harness.whileDialing = func() { harness.now.Store(int64(2 * time.Minute)) }
	got := harness.post("/safe/", "body")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, harness.requestsReceived())
}

// Guards against a host that was paused while it connected to a server and then sends a
// request whose caller has stopped waiting.
func TestDeadlinePassesWhileConnecting(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(http.StatusOK, "fine", signed))
	harness.whileDialing = func() { time.Sleep(350 * time.Millisecond) }
	got := harness.post("/safe/", "body", "X-Timeout-Ms", "300")
	require.NoError(t, got.err)
	require.GreaterOrEqual(t, got.status, 500)
	require.Empty(t, harness.requestsReceived())
}
