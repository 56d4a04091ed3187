package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a server that never frames and is suspended for single broken responses, with any number of sound ones in between.
func TestServerThatNeverFramesIsNotSuspendedForSingleFailures(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		harness := newHarness(t, nil)
		harness.trusted["engines"] = trusted
		harness.addServer("a", func(request *http.Request, conn net.Conn) {
			if strings.HasPrefix(request.Header.Get("X-Id"), "bad") {
				resetConnection(request, conn)
				return
			}
			respondUntilEnd(200, events(1, 3), eventStream)(request, conn)
		})
		for number := range 6 {
			harness.post("/stream/", "x", "X-Id", fmt.Sprint("bad-", number))
			for sound := range 5 {
				got := harness.post("/stream/", "x", "X-Id", fmt.Sprint("id-", number, "-", sound))
				require.Equal(t, http.StatusOK, got.status, "trusted %v: %s\n%s", trusted, got.body, harness.log.String())
			}
		}
		require.NotContains(t, harness.log.String(), "server_suspended", "trusted %v", trusted)
	}
}
