package keep_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/keep"
)

// Guards against a refusal that waits for a part of a body which is too long to be read to its end anyway: its
// caller may send nothing before it has the answer. net/http sends such a response at once.
func TestRefusalDoesNotWaitForALongBody(t *testing.T) {
	server := httptest.NewServer(keep.Handler(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
	}), keep.Options{Limit: func(*http.Request) time.Duration { return time.Minute }}))
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1048576\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.True(t, response.Close)
}
