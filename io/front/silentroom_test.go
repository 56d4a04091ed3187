package front_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are refused for want of room because sound servers are silent for longer than their
// objective, and against ones that are sent twice.
func TestRequestsToSilentServersAreNotRefused(t *testing.T) {
	harness := newHarness(t, nil)
	goesOn := time.Now().Add(1500 * time.Millisecond)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		time.Sleep(time.Until(goesOn))
		respondWith(200, "ok", signed)(request, conn)
	})
	server := harness.servers["a"]
	server.Slots = 1
	harness.servers["a"] = server
	harness.fleet.Put(server)
	var waiting []<-chan response
	for number := range 5 {
		waiting = append(waiting, harness.start("/once/", "id-"+strconv.Itoa(number)))
	}
	require.Len(t, harness.requestsReceived(), 1, "it works on one request at once")
	for _, done := range waiting {
		got := <-done
		require.Equal(t, 200, got.status, got.body)
	}
	require.Len(t, harness.requestsReceived(), 5)
}
