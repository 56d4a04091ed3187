package front_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
	"primrosegw/core/table"
)

// addSlowlyEndingServer adds a server that names its process as given, ends its streams early, and closes its
// listener and its other connections a time later.
func (harness *harness) addSlowlyEndingServer(health responder, after time.Duration) {
	harness.t.Helper()
	harness.scriptsHealth = true
	harness.addStoppableServer("a", func(request *http.Request, conn net.Conn, stop func()) {
		if request.URL.Path == "/health" {
			health(request, conn)
			return
		}
		respondUntilEnd(200, events(1, 3), eventStream)(request, conn)
		time.Sleep(after)
		stop()
		harness.closeConns("a")
	})
}

// Guards against a cut stream that looks complete, as its process took a connection while it ended and
// nobody looked again after the time to register.
func TestStreamOfAProcessThatEndsSlowlyIsNotPassedOn(t *testing.T) {
	for name, health := range map[string]responder{
		"names its ID": respondWith(200, "", "X-Instance: a"), "names nothing": respondWith(404, ""),
		"names its ID, closes": respondWith(200, "", "X-Instance: a", "Connection: close"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.copyLag.Store(0)
			harness.addSlowlyEndingServer(health, 6*ending.Settle)
			require.Error(t, harness.post("/stream/", "x").err, harness.log.String())
			require.Contains(t, harness.log.String(), `"case":"refused"`)
		})
	}
}

// Guards against a cut stream that looks complete, as the time for it ends before the process is looked at again.
func TestOverdueStreamOfAProcessThatEndsSlowlyIsNotPassedOn(t *testing.T) {
	harness := newHarness(t, nil)
	harness.copyLag.Store(0)
	harness.addSlowlyEndingServer(respondWith(404, ""), 4*ending.Settle)
	require.Error(t, harness.post("/stream/", "x", "X-Timeout-Ms", "700").err, harness.log.String())
}

// Guards against a cut stream that looks complete, as another process of the same registration took a
// connection after the one before it had closed its own.
func TestConnectionThatIsTakenAfterALostOneProvesNothing(t *testing.T) {
	harness := newHarness(t, func(data *table.Data) { data.Services[0].HealthPath = "" })
	harness.copyLag.Store(0)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		respondUntilEnd(200, events(1, 3), eventStream)(request, conn)
		for harness.connsAt("a") < 2 {
			time.Sleep(time.Millisecond)
		}
		harness.closeConns("a")
	})
	require.Error(t, harness.post("/stream/", "x").err, harness.log.String())
}

// connsAt returns the number of connections that a server has accepted.
func (harness *harness) connsAt(id string) (count int) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	for _, accepted := range harness.conns {
		if accepted.id == id {
			count++
		}
	}
	return count
}

// Guards against a part of a response that looks whole, as its process took and closed connections while it ended,
// more of them than it was asked on, and nobody looked again after that.
func TestResponseOfAProcessThatClosesEachConnectionIsNotWhole(t *testing.T) {
	for name, change := range map[string]func(*table.Data){
		"reports its start": withReports, "names its ID": nil,
		"can't be asked": func(data *table.Data) { data.Services[0].HealthPath = "" },
	} {
		for ends, after := range map[string]time.Duration{"soon": ending.Settle / 2, "slowly": 5 * ending.Settle / 4} {
			t.Run(name+", "+ends, func(t *testing.T) {
				t.Parallel()
				harness := newHarness(t, change)
				harness.addClosingServer(respondUntilEnd(200, "a part"), after)
				if name == "reports its start" {
					harness.startedAt("a", 1)
				}
				require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status, harness.log.String())
				require.Regexp(t, `"case":"refused".*"verdict":"ended"`, harness.log.String())
			})
		}
	}
}

// Guards against sound responses that are refused, or wait for long, as their server has closed connections for a
// moment and takes them again.
func TestResponseOfAServerThatClosesConnectionsForAMomentIsPassedOn(t *testing.T) {
	for path, respond := range map[string]responder{
		"/once/": respondUntilEnd(200, "all of it"), "/stream/": respondUntilEnd(200, events(1, 3), eventStream),
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, withReports)
			harness.addServer("a", reporting(1, func(request *http.Request, conn net.Conn) {
				respond(request, conn)
				harness.closeConnsFor("a", ending.Settle/2)
			}))
			harness.startedAt("a", 1)
			began := time.Now()
			got := harness.post(path, "x")
			require.NoError(t, got.err, harness.log.String())
			require.Equal(t, http.StatusOK, got.status, harness.log.String())
			require.Regexp(t, `"outcome":"registered".*"verdict":"passed_on"`, harness.log.String())
			require.Less(t, time.Since(began), ending.TimeLimit+time.Second)
		})
	}
}

// addClosingServer adds a server that responds as given and closes each connection from then on without an answer,
// and its listener after a time.
func (harness *harness) addClosingServer(respond responder, after time.Duration) {
	harness.t.Helper()
	harness.scriptsHealth = true
	var isEnding atomic.Bool
	harness.addStoppableServer("a", func(request *http.Request, conn net.Conn, stop func()) {
		if isEnding.Swap(true) {
			_ = conn.Close()
			return
		}
		respond(request, conn)
		harness.closeConnsFor("a", after)
		stop()
		harness.closeConns("a")
	})
}

// closeConnsFor closes each connection of a server as soon as it is taken, for a time.
func (harness *harness) closeConnsFor(id string, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Millisecond) {
		harness.closeConns(id)
	}
}

// Guards against a process that cuts its responses while it ends slowly and counts as a device that cuts, which
// costs other servers their responses without framing for ending.CutMemory.
func TestProcessThatEndsSlowlyIsNoCut(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addStoppableServer("a", reportingUntilStopped(func(_ *http.Request, conn net.Conn, stop func()) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 10\r\n\r\npart"))
		_ = conn.Close()
		time.Sleep(4 * ending.Settle)
		stop()
		harness.closeConns("a")
	}))
	harness.startedAt("a", 1)
	harness.post("/once/", "x")
	time.Sleep(time.Second)
	require.NotContains(t, harness.log.String(), "cut_seen")
}

// Guards against the same by a process that closes each connection that it still takes.
func TestProcessThatClosesEachConnectionIsNoCut(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addClosingServer(func(_ *http.Request, conn net.Conn) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 10\r\n\r\npart"))
		_ = conn.Close()
	}, 5*ending.Settle/4)
	harness.startedAt("a", 1)
	harness.post("/once/", "x")
	time.Sleep(time.Second)
	require.NotContains(t, harness.log.String(), "cut_seen")
}

// reportingUntilStopped is reporting for a server that may be stopped.
func reportingUntilStopped(respond func(*http.Request, net.Conn, func())) func(*http.Request, net.Conn, func()) {
	return func(request *http.Request, conn net.Conn, stop func()) {
		if request.URL.Path == "/report" {
			respondWith(200, "1")(request, conn)
			return
		}
		respond(request, conn, stop)
	}
}
