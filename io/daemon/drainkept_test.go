package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leaving host that promises in its drain time to keep connections, and then closes them while a
// request may be on its way: its callers must hear before it stops that they are to connect elsewhere.
func TestLeavingHostAnnouncesTheEndOfItsConnections(t *testing.T) {
	fleet := startFleet(t, nil)
	owner, _ := fleet.roles(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(owner.URL(), "http://"))
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	close(owner.Drain)
	reader := bufio.NewReader(conn)
	for number := range 10_000 {
		_, err = io.WriteString(conn, "GET /v1/entry HTTP/1.1\r\nHost: h.example\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "request %d, after a promise to keep the connection", number)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		if response.Close {
			return
		}
		// Longer than a connection stays open after its last answer once the host has stopped to accept.
		time.Sleep(300 * time.Millisecond)
	}
}
