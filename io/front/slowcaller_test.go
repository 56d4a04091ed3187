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

// Guards against a stream or body whose caller reads too slowly, which is cut and looks whole to that caller.
func TestCutForSlowCallerLooksBroken(t *testing.T) {
	long := strings.Repeat("x", 900<<10)
	for name, kind := range map[string]struct {
		path, version string
		trusted       bool
		headers       []string
		body          string
	}{
		"body while no cuts are known": {"/once/", "1.1", false, []string{"Content-Type: text/plain"}, long},
		"body of a trusted service":    {"/once/", "1.1", true, []string{"Content-Type: text/plain"}, long},
		"stream of a trusted service":  {"/stream/", "1.1", true, []string{eventStream}, strings.Repeat("data: x\n\n", 400<<10)},
		"stream on HTTP/1.0":           {"/stream/", "1.0", false, []string{eventStream, fmt.Sprint("Content-Length: ", 9*400<<10)}, strings.Repeat("data: x\n\n", 400<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, withReports)
			harness.serveWithSmallBuffers()
			harness.trusted["engines"] = kind.trusted
			harness.addServer("a", reporting(1, func(request *http.Request, conn net.Conn) {
				writeResponse(conn, 200, request.Header.Get("X-Id"), append(kind.headers, signed), kind.body)
				_ = conn.Close()
			}))
			harness.startedAt("a", 1)
			caller := harness.call(kind.path, kind.version, 300)
			require.Eventually(t, func() bool {
				return strings.Contains(harness.log.String(), "request_ended") || strings.Contains(harness.log.String(), "caller_left")
			}, 9*time.Second, 10*time.Millisecond)
			content, err := io.ReadAll(caller)
			_, body, _ := strings.Cut(string(content), "\r\n\r\n")
			require.Less(t, len(body), len(kind.body))
			require.Error(t, err, "%d of %d bytes: %s", len(body), len(kind.body), harness.log.String())
		})
	}
}
