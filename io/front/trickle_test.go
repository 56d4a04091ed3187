package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

const (
	trickleTimeout  = 400 * time.Millisecond
	trickleInterval = 40 * time.Millisecond
	trickleTime     = 4 * time.Second
	trickleCallers  = 12
)

// trickling returns a responder that sends a start and then a text now and then, and counts its requests.
func trickling(start, repeated string, runs *atomic.Int32) responder {
	return func(request *http.Request, conn net.Conn) {
		runs.Add(1)
		_, err := io.WriteString(conn, strings.ReplaceAll(start, "ID", request.Header.Get("X-Id")))
		for end := time.Now().Add(2 * time.Second); err == nil && time.Now().Before(end); time.Sleep(trickleInterval) {
			_, err = io.WriteString(conn, repeated)
		}
		_ = conn.Close()
	}
}

// playTrickle sends requests for a while and returns how many were served.
func playTrickle(harness *harness, path string) (served, requests int32) {
	var group sync.WaitGroup
	var servedCount, count atomic.Int32
	end := time.Now().Add(trickleTime)
	for range trickleCallers {
		group.Go(func() {
			for time.Now().Before(end) {
				count.Add(1)
				got := harness.post(path, "body")
				if got.err == nil && got.status == http.StatusOK {
					servedCount.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return servedCount.Load(), count.Load()
}

func shortRoutes(data *table.Data) {
	for index := range data.Routes {
		data.Routes[index].Timeout = trickleTimeout
	}
}

// Guards against a server that sends something now and then until the deadline, serves nothing and
// goes on to get requests.
func TestServerThatTricklesGetsNothingForAWhile(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n"
	const stream = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ path, start, repeated string }{
		"head":        {"/safe/", "HTTP/1.1 200 OK\r\nX-More: ", "x"},
		"interim":     {"/safe/", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		"comments":    {"/stream/", stream, chunk(": wait\n\n")},
		"event":       {"/stream/", stream, chunk("data: x\n")},
		"first event": {"/stream/", stream + chunk("data: x\n\n"), chunk(":\n")},
		"length":      {"/safe/", head + "Content-Length: 1000000\r\n\r\n", "x"},
		"chunks":      {"/safe/", head + "Transfer-Encoding: chunked\r\n\r\n", chunk("x")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, shortRoutes)
			var runs atomic.Int32
			harness.addServer("faulty", trickling(test.start, test.repeated, &runs))
			sound := respondWith(http.StatusOK, "fine", signed)
			if test.path == "/stream/" {
				sound = respondWithStream(true, events(1, 3))
			}
			harness.addServer("b", sound)
			harness.addServer("c", sound)
			served, requests := playTrickle(harness, test.path)
			t.Logf("%d of %d served, %d sent to the faulty server", served, requests, runs.Load())
			// Those that are under way before the first ones reach their deadline, and one of a probation.
			require.LessOrEqual(t, runs.Load(), int32(trickleCallers))
			require.GreaterOrEqual(t, served, requests-runs.Load())
			harness.requireAllGivenBack()
		})
	}
}

// Guards against slow but sound streams that are cut, or lower the standing of their server.
func TestStreamsWithLongPausesKeepTheirStanding(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, shortRoutes)
	slow := func(request *http.Request, conn net.Conn) {
		writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, eventStream, "Transfer-Encoding: chunked"}, "")
		_, _ = io.WriteString(conn, chunk(": wait\n\n"))
		time.Sleep(trickleTimeout / 2)
		_, _ = io.WriteString(conn, chunk(events(1, 1)))
		time.Sleep(trickleTimeout / 4)
		_, _ = io.WriteString(conn, chunk(events(2, 2))+"0\r\n\r\n")
	}
	harness.addServer("slow", slow)
	harness.addServer("b", respondWithStream(true, events(1, 3)))
	served, requests := playTrickle(harness, "/stream/")
	require.Equal(t, requests, served, harness.log.String())
	for _, member := range harness.fleet.Members("engines", time.Now()) {
		require.Zero(t, member.FailureRate, member.ID)
		require.Zero(t, member.SuspendedUntil, member.ID)
	}
	require.Contains(t, fmt.Sprint(harness.requestsReceived()), "slow ")
}
