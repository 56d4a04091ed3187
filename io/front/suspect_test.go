package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/poison"
)

// Guards against a request that crashes one backend server after another, and
// against refusing the other requests that ran on the same servers.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	harness := newHarness(t, nil)
	const engines = 6
	for index := range engines {
		harness.addCrashingServer(fmt.Sprintf("engine-%d", index))
	}
	for range 8 {
		harness.post("/once/", "crash")
		for range 2 * engines {
			require.Equal(t, http.StatusOK, harness.post("/once/", "fine").status)
		}
	}
	crashes := 0
	for _, arrival := range harness.requestsReceived() {
		if strings.HasSuffix(arrival, " crash") {
			crashes++
		}
	}
	require.Equal(t, 3, crashes)
	got := harness.post("/once/", "crash")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "crashes_servers")
	require.Contains(t, harness.log.String(), "server_crashed")
}

// Guards against requests that share one part of their prompts, differ in all else, and
// crash one backend server after another.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	harness := newHarness(t, nil)
	const engines = 10
	for index := range engines {
		harness.addServerCrashedByPart(fmt.Sprintf("engine-%d", index), "b")
	}
	for index := range engines {
		unique := strconv.Itoa(index)
		harness.post("/once/", unique, "X-Parts", "a,b,"+unique)
		require.Equal(t, http.StatusOK, harness.post("/once/", "fine"+unique, "X-Parts", "a,c,f"+unique).status)
		time.Sleep(timeBetweenCrashes)
	}
	crashes := 0
	for _, arrival := range harness.requestsReceived() {
		if !strings.Contains(arrival, "fine") {
			crashes++
		}
	}
	require.LessOrEqual(t, crashes, 5)
	got := harness.post("/once/", "new", "X-Parts", "d,b,new")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "crashes_servers")
}

// Guards against taking responses that end with their connection for a sign that their
// request is harmless: a server that crashes ends them in the same way.
func TestCrashThatLooksLikeTheEndOfAResponse(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		t.Run(fmt.Sprint("trusted ", trusted), func(t *testing.T) { testCrashAtTheEnd(t, trusted) })
	}
}

func testCrashAtTheEnd(t *testing.T, trusted bool) {
	t.Helper()
	harness := newHarness(t, nil)
	harness.trusted["engines"] = trusted
	const engines = 10
	for index := range engines {
		harness.addStoppableServer(fmt.Sprintf("engine-%d", index), func(request *http.Request, conn net.Conn, stop func()) {
			if strings.Contains(request.Header.Get("X-Parts"), "b") {
				stop()
				writeResponse(conn, http.StatusOK, request.Header.Get("X-Id"), []string{signed, "Content-Type: text/event-stream", "Connection: close"}, "id: 1\ndata: a\n\n")
				_ = conn.Close()
				return
			}
			respondWith(http.StatusOK, "fine", signed)(request, conn)
		})
	}
	refused := 0
	for index := range engines {
		unique := strconv.Itoa(index)
		if harness.post("/stream/", unique, "X-Parts", "a,b,"+unique).status == http.StatusServiceUnavailable {
			refused++
		}
		for fine := range 2 * engines {
			require.Equal(t, http.StatusOK, harness.post("/once/", "fine", "X-Parts", "a,c,"+unique+strconv.Itoa(fine)).status)
		}
		time.Sleep(timeBetweenCrashes)
	}
	require.GreaterOrEqual(t, refused, engines-5)
}

// Guards against taking an error response for a sign that the request is harmless: the
// server has not begun to generate.
func TestErrorResponseClearsNoSuspect(t *testing.T) {
	harness := newHarness(t, nil)
	const engines = 8
	for index := range engines {
		harness.addStoppableServer(fmt.Sprintf("engine-%d", index), func(request *http.Request, conn net.Conn, stop func()) {
			if body, _ := io.ReadAll(request.Body); string(body) == "reject" {
				respondWith(http.StatusBadRequest, "no", signed)(request, conn)
				return
			}
			stop()
			resetConnection(request, conn)
		})
	}
	for index := range engines {
		unique := strconv.Itoa(index)
		harness.post("/once/", unique, "X-Parts", "a,b,"+unique)
		harness.post("/once/", "reject", "X-Parts", "a,b,reject"+unique)
		time.Sleep(timeBetweenCrashes)
	}
	got := harness.post("/once/", "new", "X-Parts", "a,b,new")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "crashes_servers")
}

// Guards against sending a request that was quarantined while the connection was opened.
func TestQuarantineWhileConnecting(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", respondWith(http.StatusOK, "fine", signed))
	harness.whileDialing = func() {
		record := poison.QuarantineRecord{Features: []uint64{fleet.ServerHash("b")}, AtMs: time.Now().UnixMilli()}
		harness.crashes.ApplyRecord(record, time.Now())
	}
	got := harness.post("/once/", "new", "X-Parts", "a,b,new")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "crashes_servers")
	require.Empty(t, harness.requestsReceived())
}

// timeBetweenCrashes leaves time for hosts to report their requests.
const timeBetweenCrashes = 400 * time.Millisecond

// addStoppableServer adds a backend server whose responder can stop it, so that it accepts no
// more connections.
func (harness *harness) addStoppableServer(id string, respond func(request *http.Request, conn net.Conn, stop func())) {
	var listener net.Listener
	listener = harness.addServer(id, func(request *http.Request, conn net.Conn) {
		respond(request, conn, func() { _ = listener.Close() })
	})
}

// addServerCrashedByPart adds a backend server that goes down with a request whose prompt has
// the given part.
func (harness *harness) addServerCrashedByPart(id, part string) {
	harness.addServerCrashedBy(id, func(request *http.Request) bool {
		return slices.Contains(strings.Split(request.Header.Get("X-Parts"), ","), part)
	})
}

// addCrashingServer adds a backend server that goes down with a request with the body "crash".
func (harness *harness) addCrashingServer(id string) {
	harness.addServerCrashedBy(id, func(request *http.Request) bool {
		body, err := io.ReadAll(request.Body)
		return err == nil && string(body) == "crash"
	})
}

// addServerCrashedBy adds a backend server that goes down with a matching request, without a
// response.
func (harness *harness) addServerCrashedBy(id string, match func(request *http.Request) bool) {
	harness.addStoppableServer(id, func(request *http.Request, conn net.Conn, stop func()) {
		if match(request) {
			stop()
			resetConnection(request, conn)
			return
		}
		respondWith(http.StatusOK, "fine", signed)(request, conn)
	})
}
