package front_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against sound requests to servers that never frame, which are refused because servers crashed after their responses.
func TestSoundRequestsToServersThatNeverFrameAreNotSuspected(t *testing.T) {
	const engines = 8
	harness := newHarness(t, nil)
	var listeners []net.Listener
	for index := range engines {
		listeners = append(listeners, harness.addServer(fmt.Sprint("engine-", index), respondUntilEnd(200, events(1, 3), eventStream)))
	}
	for index := range engines {
		for number := range 4 * engines {
			got := harness.post("/stream/", fmt.Sprint(index, "-", number), "X-Id", fmt.Sprint(index, "-", number), "X-Parts", fmt.Sprint("system,", index, "-", number))
			require.Equal(t, http.StatusOK, got.status, "after %d crashes: %s", index, got.body)
		}
		// The server ends for a reason of its own, after its responses.
		_ = listeners[index].Close()
		harness.closeConns(fmt.Sprint("engine-", index))
		time.Sleep(timeBetweenCrashes)
	}
}
