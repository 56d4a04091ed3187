package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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

// addCrashingServer adds a backend server that stops listening after a request with
// the body "crash".
func (harness *harness) addCrashingServer(id string) {
	var listener net.Listener
	listener = harness.addServer(id, func(request *http.Request, conn net.Conn) {
		body, err := io.ReadAll(request.Body)
		if err == nil && string(body) == "crash" {
			_ = listener.Close()
			resetConnection(request, conn)
			return
		}
		respondWith(http.StatusOK, "fine", signed)(request, conn)
	})
}
