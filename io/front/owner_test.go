package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/front"
)

// leaver is a caller that sends a request, does not read the response and leaves.
type leaver struct{ conn *net.TCPConn }

func (harness *harness) newLeaver() leaver {
	harness.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(harness.server.URL, "http://"))
	require.NoError(harness.t, err)
	tcp := conn.(*net.TCPConn)
	require.NoError(harness.t, tcp.SetReadBuffer(4<<10))
	_, err = fmt.Fprint(conn, "POST /once/long HTTP/1.1\r\nHost: h.example\r\nX-Id: leaver\r\nX-Key: key\r\nX-Timeout-Ms: 5000\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(harness.t, err)
	return leaver{tcp}
}

func (leaver leaver) leave() {
	_ = leaver.conn.SetLinger(0)
	_ = leaver.conn.Close()
}

// serveWithSmallBuffers makes the host wait for callers that don't read.
func (harness *harness) serveWithSmallBuffers() {
	harness.server.Close()
	harness.server = httptest.NewUnstartedServer(harness.handler)
	harness.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		return front.ConnContext(ctx, conn)
	}
	harness.server.Start()
	harness.t.Cleanup(harness.server.Close)
}

// Guards against a caller that leaves while its answer is written to it and cuts the request of
// another caller, which uses the same connection to the server by then.
func TestCallerThatLeavesDoesNotCutAnotherRequest(t *testing.T) {
	const rounds = 10
	for _, path := range []string{"/once/", "/stream/"} {
		harness := newHarness(t, nil)
		harness.serveWithSmallBuffers()
		harness.addServer("a", func(request *http.Request, conn net.Conn) {
			switch request.URL.Path {
			case "/once/long":
				respondWith(200, strings.Repeat("x", 900<<10), signed)(request, conn)
			case "/stream/":
				time.Sleep(100 * time.Millisecond)
				respondWithStream(true, events(1, 3))(request, conn)
			default:
				time.Sleep(100 * time.Millisecond)
				respondWith(200, "ok", signed)(request, conn)
			}
		})
		for round := range rounds {
			leaver := harness.newLeaver()
			require.Eventually(t, func() bool { return len(harness.requestsReceived()) == 2*round+1 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			time.AfterFunc(30*time.Millisecond, leaver.leave)
			got := harness.post(path, "x", "X-Id", fmt.Sprint("other-", round))
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
}
