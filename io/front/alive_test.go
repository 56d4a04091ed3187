package front_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/io/front"
)

// goesDark answers nothing to a request with a body of its own, and all others.
func goesDark(request *http.Request, conn net.Conn) {
	if request.Header.Get("X-Dark") != "" {
		time.Sleep(time.Second)
		return
	}
	respondWith(http.StatusOK, "fine", signed)(request, conn)
}

// endProcess ends the registered process of a server, which started at 1.
func (harness *harness) endProcess(id string) {
	server := harness.servers[id]
	server.Started = time.UnixMilli(1)
	front.RecordProcessEnd(harness.crashes, event.New(harness.log, "host", 4, nil), server, time.Now())
	harness.fleet.Remove(id)
	time.Sleep(timeBetweenCrashes)
}

// respondByPath answers nothing to some requests, and the others as their path needs.
func respondByPath(request *http.Request, conn net.Conn) {
	if request.URL.Path == "/resume/" {
		respondWithStream(true, events(1, 3))(request, conn)
		return
	}
	if request.Header.Get("X-Slow") != "" {
		time.Sleep(50 * time.Millisecond)
	}
	goesDark(request, conn)
}

// Guards against a response of a process that has taken a server's address unnoticed: it must not clear
// the requests that the registered process has not answered, as long as it was not asked which one it is.
func TestResponseOfAnUnaskedProcessClearsNoSuspect(t *testing.T) {
	harness := newHarness(t, withReports)
	for number := range 3 {
		id := fmt.Sprint("engine-", number)
		harness.addServer(id, reporting(2, goesDark))
		harness.startedAt(id, 1)
		harness.post("/once/", "dark", "X-Dark", "yes", "X-Timeout-Ms", "100")
		// The next process answers on a connection that was opened after that.
		require.Equal(t, http.StatusOK, harness.post("/once/", fmt.Sprint("fine", number)).status)
		harness.endProcess(id)
	}
	harness.addServer("sound", respondWith(http.StatusOK, "fine", signed))
	got := harness.post("/once/", "dark", "X-Dark", "yes")
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Contains(t, got.body, "crashes_servers")
	require.Equal(t, http.StatusOK, harness.post("/once/", "fine").status)
}

// Guards against suspecting requests that the registered process has survived: it answers on a
// connection that was opened before they were sent, or says which process it is.
func TestResponseOfTheSameProcessClearsSuspects(t *testing.T) {
	for name, path := range map[string]string{"an older connection": "/once/", "asked": "/resume/"} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, withReports)
			for number := range 3 {
				id := fmt.Sprint("engine-", number)
				harness.addServer(id, reporting(1, respondByPath))
				harness.startedAt(id, 1)
				if path == "/once/" {
					// Two connections are opened: one takes the request that is not answered, and one stays.
					done := make(chan response, 1)
					go func() { done <- harness.post("/once/", fmt.Sprint("first", number), "X-Slow", "yes") }()
					require.Equal(t, http.StatusOK, harness.post("/once/", fmt.Sprint("second", number), "X-Slow", "yes").status)
					require.Equal(t, http.StatusOK, (<-done).status)
				}
				harness.post("/once/", "dark", "X-Dark", "yes", "X-Timeout-Ms", "100")
				got := harness.post(path, fmt.Sprint("third", number))
				require.Equal(t, http.StatusOK, got.status, got.body)
				harness.endProcess(id)
			}
			harness.addServer("sound", respondWith(http.StatusOK, "fine", signed))
			require.Equal(t, http.StatusOK, harness.post("/once/", "dark").status, harness.log.String())
		})
	}
}
