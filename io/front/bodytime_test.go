package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal that a caller never gets, because the host reads the rest of a body that does not arrive.
func TestCallerOfAPartOfABodyIsAnswered(t *testing.T) {
	harness := newHarness(t, nil)
	caller, err := net.Dial("tcp4", harness.server.Listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nX-Timeout-Ms: 300\r\nContent-Length: 3\r\n\r\nxx")
	require.NoError(t, err)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.Contains(t, harness.log.String(), "body_unread")
}
