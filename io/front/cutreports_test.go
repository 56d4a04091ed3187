package front_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that goes on unchecked after several reports that were cut: they are counted as reports that only closed their connection.
func TestCutReportsDoNotLetAStreamGoOnUnchecked(t *testing.T) {
	for name, cut := range map[string]responder{
		"shorter than its length":     answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n1"),
		"ends with its connection":    answerAndClose("HTTP/1.1 200 OK\r\n\r\n"),
		"chunks without the last one": answerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, withReports)
			harness.addVersion("a", "v1", reporting(1, breakThenResume()))
			harness.startedAt("a", 1)
			require.Equal(t, events(1, 3), harness.post("/resume/", "x", "X-Id", "first").body)
			harness.fleet.Remove("a")
			harness.addVersion("b", "v1", func(request *http.Request, conn net.Conn) {
				if request.URL.Path == "/report" {
					cut(request, conn)
					return
				}
				breakThenResume()(request, conn)
			})
			harness.startedAt("b", 1)
			got := harness.post("/resume/", "x", "X-Id", "second", "X-Last", "3", "X-Resumes", "first")
			require.False(t, got.status == http.StatusOK && strings.Contains(got.body, "id: 4"), "%s\n%s", got.body, harness.log.String())
		})
	}
}
