package leave_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is neither answered nor refused because the beginning of its head was read together
// with the request before, so that its connection counts as one without a request.
func TestHeadThatBeganWithinAnAnswerIsAnswered(t *testing.T) {
	host := newHost(t)
	caller := host.dial()
	caller.send(slowGet + "GET /first HTTP/1.1\r\nHost: ")
	<-host.begun
	host.leave()
	close(host.release)
	status, body, _ := caller.read()
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "slow end", body)
	// Longer than a connection without a request stays open.
	time.Sleep(300 * time.Millisecond)
	caller.send("h.example\r\n\r\n")
	caller.requireAnswer("/first ")
	host.requireLeft()
}
