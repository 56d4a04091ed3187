package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a draining host that sends a request to a second server after a refusal, although the
// request would not end before the host stops.
func TestRefusedRequestIsNotSentAgainLateInADrain(t *testing.T) {
	harness := newHarness(t, nil)
	refuse := func(request *http.Request, conn net.Conn) {
		harness.handler.Drain(time.Now().Add(time.Second))
		respondWith(503, "", "X-Not-Run: 1")(request, conn)
	}
	respond := firstThen(refuse, respondWith(200, "fine", signed))
	harness.addServer("a", respond)
	harness.addServer("b", respond)
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/once/", "x").status)
	require.Len(t, harness.requestsReceived(), 1)
}

// Guards against a retry that a draining host sends so late that the host stops while it runs, and
// against saying of the request that it has not run.
func TestBrokenRequestIsNotSentAgainLateInADrain(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	breakLate := func(request *http.Request, conn net.Conn) {
		harness.handler.Drain(time.Now().Add(3500 * time.Millisecond))
		time.Sleep(3 * time.Second)
		resetConnection(request, conn)
	}
	respond := firstThen(breakLate, respondWith(200, "fine", signed))
	harness.addServer("a", respond)
	harness.addServer("b", respond)
	require.Equal(t, http.StatusGatewayTimeout, harness.post("/safe/", "x").status)
	require.Len(t, harness.requestsReceived(), 1)
}

// Guards against a request without an answer when its host stops before the request ends.
func TestOpenRequestGetsAnAnswerBeforeItsHostStops(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(_ *http.Request, conn net.Conn) {
		harness.handler.Drain(time.Now().Add(500 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
	})
	began := time.Now()
	got := harness.post("/safe/", "x")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Empty(t, got.header.Get("X-Signed"))
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.NotContains(t, harness.log.String(), "server_suspended")
}

// Guards against a request that is cut without an answer because its body has not arrived when its host stops.
func TestRequestWithAPartOfItsBodyIsRefusedBeforeItsHostStops(t *testing.T) {
	harness := newHarness(t, nil)
	conn, err := net.Dial("tcp4", harness.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	began := time.Now()
	harness.handler.Drain(began.Add(500 * time.Millisecond))
	_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(began.Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Empty(t, harness.requestsReceived())
}

// Guards against callers who send their next request on a connection that is about to be closed, as a response that
// was awaited when the drain began does not say so.
func TestResponseThatBeginsInADrainEndsItsConnection(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		harness.handler.Drain(time.Now().Add(time.Minute))
		respondWith(200, "fine", signed)(request, conn)
	})
	conn, err := net.Dial("tcp4", harness.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nX-Key: key\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}
