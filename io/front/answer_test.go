package front_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/table"
)

// Guards against modifying the path, query, body or response, and against
// forwarding the caller's key.
func TestPassesOn(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		require.Empty(t, request.Header.Get("X-Key"))
		require.Equal(t, "space", request.Header.Get("X-Workspace"))
		require.Equal(t, "kept", request.Header.Get("X-Other"))
		respondWith(http.StatusCreated, "the answer", signed, "X-Own: 1")(request, conn)
	})
	got := harness.post("/once/%2Fx/?q=a%20b", "the body", "X-Other", "kept")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusCreated, got.status)
	require.Equal(t, "the answer", got.body)
	require.Equal(t, "1", got.header.Get("X-Own"))
	require.Empty(t, got.header.Get("Date"))
	require.Equal(t, []string{"a /once/%2Fx/?q=a%20b the body"}, harness.requestsReceived())
}

// Guards against running a request twice that is not idempotent, against a 503 for
// a request that may have run, and against failing a request that can be retried.
func TestBrokenAnswersByKind(t *testing.T) {
	for _, test := range []struct {
		path   string
		broken responder
		status int
		runs   int
	}{
		{"/once/", resetConnection, http.StatusBadGateway, 1},
		{"/stream/", resetConnection, http.StatusBadGateway, 1},
		{"/safe/", resetConnection, http.StatusOK, 2},
		{"/resume/", resetConnection, http.StatusOK, 2},
		{"/once/", respondWith(503, "", "X-Not-Run: 1"), http.StatusOK, 2},
		{"/stream/", respondWith(421, ""), http.StatusOK, 2},
		{"/once/", respondWith(500, "failure", signed), http.StatusInternalServerError, 1},
		{"/safe/", respondWith(500, "failure", signed), http.StatusOK, 2},
		{"/once/", respondWith(200, "unsigned"), http.StatusBadGateway, 1},
		{"/safe/", respondWith(200, "coded", signed, "Content-Encoding: gzip"), http.StatusOK, 2},
		{"/safe/", respondWith(404, "gone", signed), http.StatusNotFound, 1},
	} {
		harness := newHarness(t, nil)
		respond := firstThen(test.broken, respondWith(200, "fine", signed))
		harness.addServer("a", respond)
		harness.addServer("b", respond)
		got := harness.post(test.path, "x")
		require.NoError(t, got.err, test.path)
		require.Equal(t, test.status, got.status, test.path)
		require.Len(t, harness.requestsReceived(), test.runs, test.path)
		if test.status == http.StatusBadGateway {
			require.Empty(t, got.header.Get("X-Signed"))
		}
	}
}

// Guards against an untrue 503: the status and a Retry-After header are sent only
// if no server has run the request.
func TestAllServersDecline(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(503, "", "X-Not-Run: 1"))
	harness.addServer("b", respondWith(503, "", "X-Not-Run: 1"))
	got := harness.post("/once/", "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))

	harness = newHarness(t, nil)
	respond := firstThen(resetConnection, respondWith(503, "", "X-Not-Run: 1"))
	harness.addServer("a", respond)
	harness.addServer("b", respond)
	require.Equal(t, http.StatusBadGateway, harness.post("/safe/", "x").status)
}

// Guards against relaying a response to another request.
func TestForeignAnswersAreDropped(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		writeResponse(conn, 200, "another", []string{signed, "Content-Length: 5"}, "wrong")
		respondWith(200, "right", signed)(request, conn)
	})
	got := harness.post("/once/", "x")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "right", got.body)
	require.Contains(t, harness.log.String(), "foreign_answer")
}

// Guards against a truncated response that looks complete, with each way of
// delimiting a body.
func TestCutAnswersAreNeverComplete(t *testing.T) {
	for name, respond := range map[string]responder{
		"length": func(request *http.Request, conn net.Conn) {
			writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, "Content-Length: 100"}, "part")
			resetConnection(request, conn)
		},
		"chunks": func(request *http.Request, conn net.Conn) {
			writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, "Transfer-Encoding: chunked"}, "4\r\npart\r\n")
			resetConnection(request, conn)
		},
		"end of connection": func(request *http.Request, conn net.Conn) {
			writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, "Connection: close"}, "part")
			time.Sleep(20 * time.Millisecond)
			resetConnection(request, conn)
		},
	} {
		harness := newHarness(t, nil)
		harness.addServer("a", respond)
		require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status, name)
	}
}

// Guards against treating a response without a length as broken though its service is trusted: it
// ends when the server closes the connection. Where cuts are known, nothing shows that it is whole.
func TestResponseDelimitedByConnectionClose(t *testing.T) {
	respond := func(request *http.Request, conn net.Conn) {
		writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, "Connection: close"}, "all of it")
		_ = conn.Close()
	}
	harness := newHarness(t, nil).trustEnds()
	harness.addServer("a", respond)
	got := harness.post("/once/", "x")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "all of it", got.body)
	harness = newHarness(t, nil).knowCuts()
	harness.addServer("a", respond)
	require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status)
}

// Guards against definite refusals (401, 404) by a host whose routing table is
// missing or unconfirmed, and against running requests with an unknown key or
// route.
func TestRefusals(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(200, "", signed))
	require.Equal(t, http.StatusUnauthorized, harness.post("/once/", "x", "X-Key", "other").status)
	require.Equal(t, http.StatusNotFound, harness.post("/nowhere/", "x").status)
	require.Equal(t, http.StatusRequestEntityTooLarge, harness.post("/once/", strings.Repeat("x", 1<<20+1)).status)

	empty := newHarness(t, nil)
	*empty.table = table.Current{}
	require.Equal(t, http.StatusServiceUnavailable, empty.post("/once/", "x").status)

	stale := newHarness(t, nil)
	stale.now.Store(int64(2 * time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, stale.post("/once/", "x", "X-Key", "other").status)
	require.Empty(t, harness.requestsReceived())
}

// Guards against forwarding to a service without servers or to a server that is
// shutting down.
func TestNoServer(t *testing.T) {
	harness := newHarness(t, nil)
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/once/", "x").status)
	harness.fleet.Put(fleet.Server{ID: "gone", Service: "engines", Address: "127.0.0.1:1", Leaving: true})
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/once/", "x").status)
}

// Guards against failing a request because the first server is unreachable,
// without trying the second one.
func TestUnreachableServerIsSkipped(t *testing.T) {
	harness := newHarness(t, nil)
	harness.fleet.Put(fleet.Server{ID: "0", Service: "engines", Address: "127.0.0.1:1"})
	harness.addServer("a", respondWith(200, "fine", signed))
	require.Equal(t, http.StatusOK, harness.post("/once/", "x").status)
	require.Positive(t, harness.fleet.SuspendedFor("0", time.Now()))
}

// Guards against a backend server that keeps working for a caller that has
// disconnected.
func TestCallerThatLeavesCancelsTheWork(t *testing.T) {
	harness := newHarness(t, nil)
	started, cancelled := make(chan struct{}), make(chan struct{})
	harness.addServer("a", func(_ *http.Request, conn net.Conn) {
		close(started)
		_, _ = conn.Read(make([]byte, 1))
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, harness.server.URL+"/once/", strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Key", "key")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the request to the backend server was not cancelled")
	}
}

// Guards against giving a server more time than the caller and the route allow, and
// against responding long after the deadline.
func TestTimeLimit(t *testing.T) {
	harness := newHarness(t, func(data *table.Data) { data.Routes[0].Timeout = 300 * time.Millisecond })
	left := make(chan string, 1)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		left <- request.Header.Get("X-Left-Ms")
		_, _ = conn.Read(make([]byte, 1))
	})
	before := time.Now()
	got := harness.post("/once/", "x")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(before), 300*time.Millisecond+500*time.Millisecond)
	milliseconds := <-left
	require.Regexp(t, `^(300|2\d\d)$`, milliseconds)
}

// Guards against keeping callers' connections open while the host drains, and
// against accepting requests that would not end before it stops.
func TestLeavingHost(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(200, "fine", signed))
	harness.handler.Drain(time.Now().Add(time.Minute))
	got := harness.post("/once/", "x")
	require.Equal(t, http.StatusOK, got.status)
	require.True(t, got.connectionClosed)
	harness.handler.Drain(time.Now().Add(time.Second))
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/once/", "x").status)
	require.Len(t, harness.requestsReceived(), 1)
}

// Guards against refusing a disconnected caller because its key was revoked in the
// meantime: its request is cancelled, and no refusal is logged.
func TestCallerThatLeavesWhileTheTableChanges(t *testing.T) {
	harness := newHarness(t, nil)
	started := make(chan struct{})
	harness.addServer("a", func(_ *http.Request, conn net.Conn) {
		close(started)
		_, _ = conn.Read(make([]byte, 1))
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, harness.server.URL+"/once/", strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Key", "key")
	go func() {
		<-started
		data := harness.table.Load().Data
		data.Version, data.Workspaces = 2, []table.Workspace{{Name: "other", Keys: []string{"new"}}}
		next, err := table.New(data)
		if err == nil {
			harness.table.Adopt(next)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return strings.Contains(harness.log.String(), "caller_left") }, 10*time.Second, time.Millisecond)
	require.NotContains(t, harness.log.String(), "request_turned_away")
}

// Guards against a retry budget that is never refilled: requests must earn retries,
// or the host stops retrying once the initial reserve is used up.
func TestRetryBudgetGrowsWithRequests(t *testing.T) {
	harness := newHarness(t, nil)
	var failing atomic.Bool
	respond := func(request *http.Request, conn net.Conn) {
		if failing.CompareAndSwap(true, false) {
			respondWith(500, "failure", signed)(request, conn)
			return
		}
		respondWith(200, "fine", signed)(request, conn)
	}
	harness.addServer("a", respond)
	harness.addServer("b", respond)
	for round := range 30 {
		for range 5 {
			require.Equal(t, http.StatusOK, harness.post("/safe/", "x").status)
		}
		failing.Store(true)
		require.Equal(t, http.StatusOK, harness.post("/safe/", "x").status, "round %d", round)
	}
}

// Guards against telling a caller that a resource is empty: the response to HEAD names the length of what
// GET would bring.
func TestHeadKeepsTheLength(t *testing.T) {
	for _, test := range []struct{ header, want string }{{"Content-Length: 10", "10"}, {"X-Own: 1", ""}, {"Transfer-Encoding: chunked", ""}} {
		harness := newHarness(t, nil)
		harness.addServer("a", func(request *http.Request, conn net.Conn) {
			writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, test.header}, "")
		})
		request, err := http.NewRequestWithContext(t.Context(), http.MethodHead, harness.server.URL+"/once/", nil)
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header.Set("X-Id", "id-1")
		request.Header.Set("X-Key", "key")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, test.want, response.Header.Get("Content-Length"), test.header)
	}
}
