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

// Guards against a request that crashes one engine after the other, and against
// a refusal of other requests that ran beside it.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	world := newWorld(t, nil)
	const engines = 6
	for index := range engines {
		world.crashingEngine(fmt.Sprintf("engine-%d", index))
	}
	for range 8 {
		world.ask("/once/", "crash")
		for range 2 * engines {
			require.Equal(t, http.StatusOK, world.ask("/once/", "fine").status)
		}
	}
	crashes := 0
	for _, arrival := range world.arrived() {
		if strings.HasSuffix(arrival, " crash") {
			crashes++
		}
	}
	require.Equal(t, 3, crashes)
	got := world.ask("/once/", "crash")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "crashes_servers")
	require.Contains(t, world.log.String(), "server_crashed")
}

// crashingEngine takes no connections any more after a request with the body
// "crash".
func (world *world) crashingEngine(id string) {
	var listener net.Listener
	listener = world.engine(id, func(request *http.Request, conn net.Conn) {
		body, err := io.ReadAll(request.Body)
		if err == nil && string(body) == "crash" {
			_ = listener.Close()
			reset(request, conn)
			return
		}
		whole(http.StatusOK, "fine", signed)(request, conn)
	})
}
