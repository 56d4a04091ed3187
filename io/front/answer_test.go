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

// Guards against an answer, path, query or body that is changed on the way, and
// a key that is passed on.
func TestPassesOn(t *testing.T) {
	world := newWorld(t, nil)
	world.engine("a", func(request *http.Request, conn net.Conn) {
		require.Empty(t, request.Header.Get("X-Key"))
		require.Equal(t, "space", request.Header.Get("X-Workspace"))
		require.Equal(t, "kept", request.Header.Get("X-Other"))
		whole(http.StatusCreated, "the answer", signed, "X-Own: 1")(request, conn)
	})
	got := world.ask("/once/%2Fx/?q=a%20b", "the body", "X-Other", "kept")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusCreated, got.status)
	require.Equal(t, "the answer", got.body)
	require.Equal(t, "1", got.header.Get("X-Own"))
	require.Empty(t, got.header.Get("Date"))
	require.Equal(t, []string{"a /once/%2Fx/?q=a%20b the body"}, world.arrived())
}

// Guards against work that runs twice, a run that is denied, and a repeatable
// request that is given up.
func TestBrokenAnswersByKind(t *testing.T) {
	for _, one := range []struct {
		path   string
		broken script
		status int
		runs   int
	}{
		{"/once/", reset, http.StatusBadGateway, 1},
		{"/stream/", reset, http.StatusBadGateway, 1},
		{"/safe/", reset, http.StatusOK, 2},
		{"/resume/", reset, http.StatusOK, 2},
		{"/once/", whole(503, "", "X-Not-Run: 1"), http.StatusOK, 2},
		{"/stream/", whole(421, ""), http.StatusOK, 2},
		{"/once/", whole(500, "failure", signed), http.StatusInternalServerError, 1},
		{"/safe/", whole(500, "failure", signed), http.StatusOK, 2},
		{"/once/", whole(200, "unsigned"), http.StatusBadGateway, 1},
		{"/safe/", whole(200, "coded", signed, "Content-Encoding: gzip"), http.StatusOK, 2},
		{"/safe/", whole(404, "gone", signed), http.StatusNotFound, 1},
	} {
		world := newWorld(t, nil)
		script := first(one.broken, whole(200, "fine", signed))
		world.engine("a", script)
		world.engine("b", script)
		got := world.ask(one.path, "x")
		require.NoError(t, got.err, one.path)
		require.Equal(t, one.status, got.status, one.path)
		require.Len(t, world.arrived(), one.runs, one.path)
		if one.status == http.StatusBadGateway {
			require.Empty(t, got.header.Get("X-Signed"))
		}
	}
}

// Guards against a refusal that is not true: only what no server has run is
// answered 503, with a time to come back.
func TestAllServersDecline(t *testing.T) {
	world := newWorld(t, nil)
	world.engine("a", whole(503, "", "X-Not-Run: 1"))
	world.engine("b", whole(503, "", "X-Not-Run: 1"))
	got := world.ask("/once/", "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))

	world = newWorld(t, nil)
	script := first(reset, whole(503, "", "X-Not-Run: 1"))
	world.engine("a", script)
	world.engine("b", script)
	require.Equal(t, http.StatusBadGateway, world.ask("/safe/", "x").status)
}

// Guards against an answer to another request that reaches a caller.
func TestForeignAnswersAreDropped(t *testing.T) {
	world := newWorld(t, nil)
	world.engine("a", func(request *http.Request, conn net.Conn) {
		write(conn, 200, "another", []string{signed, "Content-Length: 5"}, "wrong")
		whole(200, "right", signed)(request, conn)
	})
	got := world.ask("/once/", "x")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "right", got.body)
	require.Contains(t, world.log.String(), "foreign_answer")
}

// Guards against a cut answer that looks complete, whatever says where it ends.
func TestCutAnswersAreNeverComplete(t *testing.T) {
	for name, script := range map[string]script{
		"length": func(request *http.Request, conn net.Conn) {
			write(conn, 200, request.Header.Get("X-Id"), []string{signed, "Content-Length: 100"}, "part")
			reset(request, conn)
		},
		"chunks": func(request *http.Request, conn net.Conn) {
			write(conn, 200, request.Header.Get("X-Id"), []string{signed, "Transfer-Encoding: chunked"}, "4\r\npart\r\n")
			reset(request, conn)
		},
		"end of connection": func(request *http.Request, conn net.Conn) {
			write(conn, 200, request.Header.Get("X-Id"), []string{signed, "Connection: close"}, "part")
			time.Sleep(20 * time.Millisecond)
			reset(request, conn)
		},
	} {
		world := newWorld(t, nil)
		world.engine("a", script)
		require.Equal(t, http.StatusBadGateway, world.ask("/once/", "x").status, name)
	}
}

// Guards against answers without a length that are taken for broken ones.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	world := newWorld(t, nil)
	world.engine("a", func(request *http.Request, conn net.Conn) {
		write(conn, 200, request.Header.Get("X-Id"), []string{signed, "Connection: close"}, "all of it")
		_ = conn.Close()
	})
	got := world.ask("/once/", "x")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "all of it", got.body)
}

// Guards against denials by a host that can't know better, and requests that run
// on keys or routes that are not in force.
func TestRefusals(t *testing.T) {
	world := newWorld(t, nil)
	world.engine("a", whole(200, "", signed))
	require.Equal(t, http.StatusUnauthorized, world.ask("/once/", "x", "X-Key", "other").status)
	require.Equal(t, http.StatusNotFound, world.ask("/nowhere/", "x").status)
	require.Equal(t, http.StatusRequestEntityTooLarge, world.ask("/once/", strings.Repeat("x", 1<<20+1)).status)

	empty := newWorld(t, nil)
	*empty.table = table.Current{}
	require.Equal(t, http.StatusServiceUnavailable, empty.ask("/once/", "x").status)

	stale := newWorld(t, nil)
	stale.now.Store(int64(2 * time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, stale.ask("/once/", "x", "X-Key", "other").status)
	require.Empty(t, world.arrived())
}

// Guards against a request to a server that leaves between the choice and the
// sending, and to a service that has no server.
func TestNoServer(t *testing.T) {
	world := newWorld(t, nil)
	require.Equal(t, http.StatusServiceUnavailable, world.ask("/once/", "x").status)
	world.fleet.Put(fleet.Server{ID: "gone", Service: "engines", Address: "127.0.0.1:1", Leaving: true})
	require.Equal(t, http.StatusServiceUnavailable, world.ask("/once/", "x").status)
}

// Guards against a second server that is never tried when the first can't be
// reached.
func TestUnreachableServerIsPassedOver(t *testing.T) {
	world := newWorld(t, nil)
	world.fleet.Put(fleet.Server{ID: "0", Service: "engines", Address: "127.0.0.1:1"})
	world.engine("a", whole(200, "fine", signed))
	require.Equal(t, http.StatusOK, world.ask("/once/", "x").status)
	require.Positive(t, world.fleet.SuspendedFor("0", time.Now()))
}

// Guards against an engine that works on for a caller that has gone.
func TestCallerThatLeavesCancelsTheWork(t *testing.T) {
	world := newWorld(t, nil)
	started, cancelled := make(chan struct{}), make(chan struct{})
	world.engine("a", func(_ *http.Request, conn net.Conn) {
		close(started)
		_, _ = conn.Read(make([]byte, 1))
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, world.server.URL+"/once/", strings.NewReader("x"))
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
		t.Fatal("the backend server still works")
	}
}

// Guards against a server that gets more time than the caller and the route have
// left, and an answer that comes long after the deadline.
func TestTimeLimit(t *testing.T) {
	world := newWorld(t, func(data *table.Data) { data.Routes[0].Timeout = 300 * time.Millisecond })
	left := make(chan string, 1)
	world.engine("a", func(request *http.Request, conn net.Conn) {
		left <- request.Header.Get("X-Left-Ms")
		_, _ = conn.Read(make([]byte, 1))
	})
	before := time.Now()
	got := world.ask("/once/", "x")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(before), 300*time.Millisecond+500*time.Millisecond)
	milliseconds := <-left
	require.Regexp(t, `^(300|2\d\d)$`, milliseconds)
}

// Guards against kept connections to a host that leaves, and work that it can't
// end.
func TestLeavingHost(t *testing.T) {
	world := newWorld(t, nil)
	world.engine("a", whole(200, "fine", signed))
	world.front.Leave(time.Now().Add(time.Minute))
	got := world.ask("/once/", "x")
	require.Equal(t, http.StatusOK, got.status)
	require.True(t, got.closes)
	world.front.Leave(time.Now().Add(time.Second))
	require.Equal(t, http.StatusServiceUnavailable, world.ask("/once/", "x").status)
	require.Len(t, world.arrived(), 1)
}

// Guards against a caller that leaves and is answered as one whose key was taken
// away meanwhile: its work is cancelled, and nobody is refused.
func TestCallerThatLeavesWhileTheTableChanges(t *testing.T) {
	world := newWorld(t, nil)
	started := make(chan struct{})
	world.engine("a", func(_ *http.Request, conn net.Conn) {
		close(started)
		_, _ = conn.Read(make([]byte, 1))
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, world.server.URL+"/once/", strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Key", "key")
	go func() {
		<-started
		data := world.table.Load().Data
		data.Version, data.Workspaces = 2, []table.Workspace{{Name: "other", Keys: []string{"new"}}}
		next, err := table.New(data)
		if err == nil {
			world.table.Adopt(next)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return strings.Contains(world.log.String(), "caller_left") }, 10*time.Second, time.Millisecond)
	require.NotContains(t, world.log.String(), "request_turned_away")
}

// Guards against a host that retries until its first reserve is used up and never
// again: ordinary requests pay for retries.
func TestRequestsPayForRetries(t *testing.T) {
	world := newWorld(t, nil)
	var failing atomic.Bool
	script := func(request *http.Request, conn net.Conn) {
		if failing.CompareAndSwap(true, false) {
			whole(500, "failure", signed)(request, conn)
			return
		}
		whole(200, "fine", signed)(request, conn)
	}
	world.engine("a", script)
	world.engine("b", script)
	for round := range 30 {
		for range 5 {
			require.Equal(t, http.StatusOK, world.ask("/safe/", "x").status)
		}
		failing.Store(true)
		require.Equal(t, http.StatusOK, world.ask("/safe/", "x").status, "round %d", round)
	}
}
