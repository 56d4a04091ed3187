package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset at the end of a whole response, which would take from a slow caller what it has not read.
func TestWholeUnframedResponseReachesASlowCaller(t *testing.T) {
	long := strings.Repeat("data: x\n\n", 3<<10)
	for name, kind := range map[string]struct {
		path, version string
		trusted       bool
		headers       []string
	}{
		"body of a trusted service":   {"/once/", "1.1", true, []string{"Content-Type: text/plain"}},
		"stream of a trusted service": {"/stream/", "1.1", true, []string{eventStream}},
		"stream on HTTP/1.0":          {"/stream/", "1.0", false, []string{eventStream, fmt.Sprint("Content-Length: ", len(long))}},
		"chunks for HTTP/1.0":         {"/once/", "1.0", false, []string{"Content-Type: text/plain", "Transfer-Encoding: chunked"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, withReports)
			harness.trusted["engines"] = kind.trusted
			body := long
			if strings.Contains(name, "chunks") {
				body = chunk(long) + "0\r\n\r\n"
			}
			harness.addServer("a", reporting(1, func(request *http.Request, conn net.Conn) {
				writeResponse(conn, 200, request.Header.Get("X-Id"), append(kind.headers, signed), body)
				_ = conn.Close()
			}))
			harness.startedAt("a", 1)
			caller := harness.call(kind.path, kind.version, 5000)
			require.Eventually(t, func() bool { return strings.Contains(harness.log.String(), "request_ended") }, 9*time.Second, 10*time.Millisecond)
			// The host has closed the connection by then.
			time.Sleep(200 * time.Millisecond)
			_ = harness.server.Config.Close()
			content, err := io.ReadAll(caller)
			require.NoError(t, err, harness.log.String())
			_, answer, _ := strings.Cut(string(content), "\r\n\r\n")
			require.Equal(t, len(long), len(answer))
		})
	}
}
