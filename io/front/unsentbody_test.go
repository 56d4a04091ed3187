package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

// Guards against a refusal by the head of a request that waits, without a limit, for the rest of a body that nobody
// needs: the caller gets no answer, and may hold its connection for as long as it likes.
func TestRefusalByTheHeadDoesNotWaitForTheBody(t *testing.T) {
	harness := newHarness(t, func(data *table.Data) { data.Limits.BodyBytes = 10 })
	conn, err := net.Dial("tcp4", strings.TrimPrefix(harness.server.URL, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: 1000\r\n\r\n")
	require.NoError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}
