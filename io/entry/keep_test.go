package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that are closed while a request is on its way, as callers do not know for how long they are kept.
func TestCallersAreToldHowLongConnectionsAreKept(t *testing.T) {
	side := newSide()
	side.bounds.IdleTimeout = 15 * time.Second
	conn := dial(t, side.serve(t).address)
	reader := bufio.NewReader(conn)
	for _, play := range []struct{ request, told string }{
		{"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "timeout=12"},
		{"GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + keyAlpha + "\r\n\r\n", "timeout=12"},
		{"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n", "timeout=12"},
		{"POST /nowhere HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", ""},
	} {
		_, err := fmt.Fprint(conn, play.request)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, play.told, response.Header.Get("Keep-Alive"), play.request)
		require.Equal(t, play.told == "", response.Close, play.request)
	}
}
