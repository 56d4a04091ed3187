package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that breaks off and looks complete to a caller on HTTP/1.0, whose response has no chunks.
func TestBrokenStreamLooksBrokenToOldCallers(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("X-Id"), signed, eventStream)
		part := events(1, 3)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		_ = conn.Close()
	})
	caller, err := net.Dial("tcp4", harness.server.Listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	fmt.Fprint(caller, "POST /once/ HTTP/1.0\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nX-Timeout-Ms: 5000\r\nContent-Length: 1\r\n\r\nx")
	content, err := io.ReadAll(caller)
	require.Error(t, err, "the response ends as if it were whole: %s\n%s", content, harness.log.String())
}
