package front_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a report that was cut or failed and counts as "the server does not say which process it is": the stream then goes on at another process.
func TestCutReportDoesNotLetAStreamGoOnAtAnotherProcess(t *testing.T) {
	for name, cut := range map[string]responder{
		"shorter than its length":      answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"),
		"ends with its connection":     answerAndClose("HTTP/1.1 200 OK\r\n\r\n"),
		"chunks without the last one":  answerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
		"a device's 502, without body": respondWith(http.StatusBadGateway, ""),
		"a device's 504, without body": respondWith(http.StatusGatewayTimeout, ""),
		"a failure, without body":      respondWith(http.StatusInternalServerError, ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, withReports)
			var reports atomic.Int64
			next := reporting(2, breakThenResume())
			respond := firstThen(respondWithStream(false, events(1, 3)), next)
			harness.addVersion("a", "v1", reporting(1, respond))
			harness.startedAt("a", 1)
			got := harness.post("/resume/", "x", "X-Id", "first")
			require.Equal(t, events(1, 3), got.body)
			harness.fleet.Remove("a")
			// The process that started at 2, maybe at another version, is at the address of the registered one.
			harness.addVersion("b", "v1", func(request *http.Request, conn net.Conn) {
				if request.URL.Path == "/report" && reports.Add(1) == 1 {
					cut(request, conn)
					return
				}
				next(request, conn)
			})
			harness.startedAt("b", 1)
			got = harness.post("/resume/", "x", "X-Id", "second", "X-Last", "3", "X-Resumes", "first")
			require.False(t, got.status == http.StatusOK && strings.Contains(got.body, "id: 4"),
				"events of another process after one report that was cut: %s\n%s", got.body, harness.log.String())
		})
	}
}

// Guards against a server that fails to report each time and gets no streams for ever.
func TestServerThatAlwaysFailsToReportGetsStreams(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, withReports)
	harness.addVersion("a", "v1", func(request *http.Request, conn net.Conn) {
		if request.URL.Path == "/report" {
			respondWith(http.StatusInternalServerError, "")(request, conn)
			return
		}
		respondWithStream(true, events(1, 3))(request, conn)
	})
	harness.startedAt("a", 1)
	got := harness.post("/resume/", "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "unknown_process")
	require.Zero(t, harness.streamsAt("a"))
	require.Eventually(t, func() bool { return harness.post("/resume/", "x").body == events(1, 3) }, 5*time.Second, 200*time.Millisecond)
}
