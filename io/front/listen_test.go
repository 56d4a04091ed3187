package front_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against megabytes of each long response in the kernel's buffers of a host, for callers that
// read slowly.
func TestSlowCallerPushesBackOnItsServer(t *testing.T) {
	const callerBuffer, serverBuffer, part = 64 << 10, 64 << 10, 16 << 10
	harness := newHarness(t, nil)
	var sent atomic.Int64
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetWriteBuffer(serverBuffer)
		writeResponse(conn, http.StatusOK, request.Header.Get("X-Id"), []string{signed, "Content-Length: 1000000000000"}, "")
		piece := bytes.Repeat([]byte("x"), part)
		for {
			count, err := conn.Write(piece)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	})
	conn := harness.dial()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(callerBuffer))
	_, err := io.WriteString(conn, requestHead("/once/", "slow", 5000, 0))
	require.NoError(t, err)
	buffer := make([]byte, part)
	read := int64(0)
	for range 100 {
		count, err := conn.Read(buffer)
		require.NoError(t, err)
		read += int64(count)
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d bytes between the server and its caller, who has read %d", sent.Load()-read, read)
	require.Less(t, sent.Load()-read, int64(2<<20))
}
