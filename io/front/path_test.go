package front_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/front"
)

// processOf returns the name of a server's process in the harness's paths.
func (harness *harness) processOf(id string) string {
	server := harness.servers[id]
	process := server.ID + "@" + server.Address + "/" + server.Started.String()
	require.True(harness.t, front.IsProcess(process, server))
	return process
}

// silent is a responder that never answers.
func silent(_ *http.Request, conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1))
}

// Guards against attempts that are ended because their server pauses for a moment.
func TestSilentServerWhosePathIsUpKeepsItsRequest(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	answer := respondWith(200, "late", signed)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		time.Sleep(1200 * time.Millisecond)
		answer(request, conn)
	})
	for _, path := range []string{"/once/", "/safe/"} {
		got := harness.post(path, "x")
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.Len(t, harness.requestsReceived(), 2, "no request is sent twice")
	require.Zero(t, harness.fleet.SuspendedFor("a", time.Now()))
}

// Guards against requests that wait for their deadlines on a path that carries nothing, that run twice
// because of it, and that count against their servers.
func TestAttemptOnAPathThatIsDownEnds(t *testing.T) {
	for path, want := range map[string]int{"/once/": http.StatusBadGateway, "/safe/": http.StatusOK} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.addServer("a", silent)
			for number := range 3 {
				time.AfterFunc(300*time.Millisecond, func() {
					harness.fleet.Remove("b")
					harness.addServer("b", respondWith(200, "served", signed))
					harness.paths.RecordDown(harness.processOf("a"), time.Now())
					harness.paths.RecordRefuted(harness.processOf("a"), time.Now())
				})
				began := time.Now()
				got := harness.post(path, "x")
				require.Equal(t, want, got.status, "%d: %s", number, got.body)
				require.Less(t, time.Since(began), 2*time.Second)
				require.GreaterOrEqual(t, time.Since(began), 600*time.Millisecond)
				require.Zero(t, harness.fleet.SuspendedFor("a", time.Now()))
				require.False(t, harness.crashes.HasSuspects())
				harness.fleet.Remove("b")
				harness.paths.RecordDirect(harness.processOf("a"), time.Now())
			}
			require.Contains(t, harness.log.String(), "the path to the server is down")
			require.Contains(t, harness.log.String(), `"is_reached_elsewhere":true`)
		})
	}
}

// Guards against servers that are suspended because connections of this host are accepted and reset, and
// against a host that does not notice it.
func TestResetConnectionsToTwoServersPutThePathInDoubt(t *testing.T) {
	harness := newHarness(t, nil)
	reset := func(_ *http.Request, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for _, id := range []string{"a", "b"} {
		harness.addServer(id, reset)
	}
	for range 6 {
		require.Equal(t, http.StatusBadGateway, harness.post("/safe/", "x").status)
	}
	for _, id := range []string{"a", "b"} {
		require.True(t, harness.paths.InDoubt(harness.processOf(id), time.Now()))
		require.Zero(t, harness.fleet.SuspendedFor(id, time.Now()), id)
	}
	require.True(t, harness.paths.OwnInDoubt(time.Now()))
}

// Guards against a single server that resets all connections and gets requests as a sound one does.
func TestOneServerThatResetsConnectionsIsSuspended(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(_ *http.Request, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	require.Eventually(t, func() bool {
		harness.post("/safe/", "x")
		return harness.fleet.SuspendedFor("a", time.Now()) > 0
	}, 2*time.Second, time.Millisecond)
	require.False(t, harness.paths.OwnInDoubt(time.Now()))
}
