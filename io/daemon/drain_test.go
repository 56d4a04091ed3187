package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leaving host that drops a request because its head ends after the host has stopped to accept.
func TestHeadThatArrivesInADrainIsAnswered(t *testing.T) {
	fleet := startFleet(t, nil)
	owner, _ := fleet.roles(t)
	stream := call(t, owner, 1, 200)
	await(t, stream.started, "the first words")
	address := strings.TrimPrefix(owner.URL(), "http://")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	reader := bufio.NewReader(conn)
	for _, ends := range []bool{false, true} {
		_, err = io.WriteString(conn, "GET /v1/entry HTTP/1.1\r\nHost: ")
		require.NoError(t, err)
		if ends {
			close(owner.Drain)
			awaitRefusedConnections(t, address)
		}
		_, err = fmt.Fprint(conn, "h.example\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, ends, response.Close)
	}
	await(t, stream.ended, "the end of the answer")
	require.Equal(t, stream.want, stream.text)
	await(t, owner.Done, "the host to leave")
	require.NoError(t, owner.Err)
}

func awaitRefusedConnections(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, patience, time.Millisecond)
}
