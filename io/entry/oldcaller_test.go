package entry_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/plain"
)

// Guards against an answer of a service that is cut for a slow caller on HTTP/1.0 and looks whole to it, as it has no length.
func TestAnswerCutForSlowOldCallerLooksCut(t *testing.T) {
	const length = 4 << 20
	side := newSide()
	side.bounds.WriteTimeout = 100 * time.Millisecond
	side.services = func(plain.Call) (plain.Answer, error) {
		return plain.Answer{Status: 200, Body: []byte(strings.Repeat("x", length)), Tries: 1}, nil
	}
	side.serve(t)
	connection, err := net.Dial("tcp", side.address)
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(64<<10))
	fmt.Fprintf(connection, "GET /v1/services/archive/x HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", keyAlpha)
	require.Eventually(t, func() bool { return strings.Contains(side.log.String(), `"service":"archive"`) }, patience, time.Millisecond)
	time.Sleep(3 * side.bounds.WriteTimeout)
	_ = connection.SetDeadline(time.Now().Add(patience))
	content, err := io.ReadAll(connection)
	head, body, _ := strings.Cut(string(content), "\r\n\r\n")
	require.Contains(t, head, " 200 ", content)
	require.Less(t, len(body), length)
	if !strings.Contains(head, "Content-Length") {
		require.Error(t, err, "%d of %d bytes:\n%s", len(body), length, head)
	}
}
