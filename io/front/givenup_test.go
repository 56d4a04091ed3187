package front_test

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

// plainCaller is a caller that reads and writes its connection itself. Only a reset shows it that a
// response without a length or chunks is not whole.
type plainCaller struct{ *net.TCPConn }

// call sends a request with the given version of HTTP.
func (harness *harness) call(path, version string, timeoutMs int) plainCaller {
	harness.t.Helper()
	return callAt(harness.t, harness.server.Listener.Addr().String(), path, version, timeoutMs)
}

// callAt sends a request to a host.
func callAt(t *testing.T, address, path, version string, timeoutMs int) plainCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	require.NoError(t, tcp.SetReadBuffer(4<<10))
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nX-Timeout-Ms: %d\r\nContent-Length: 1\r\n\r\nx", path, version, timeoutMs)
	return plainCaller{tcp}
}

// unframedCallers are the callers that get streams without a length or chunks.
var unframedCallers = map[string]struct {
	version string
	trusted bool
}{"HTTP/1.0": {"1.0", false}, "trusted service": {"1.1", true}}

// beginStream sends the first events of a stream, in chunks unless the service is trusted, and waits.
func beginStream(trusted bool, ended <-chan struct{}) responder {
	return func(request *http.Request, conn net.Conn) {
		headers, body := []string{signed, eventStream}, events(1, 3)
		if !trusted {
			headers, body = append(headers, "Transfer-Encoding: chunked"), chunk(body)
		}
		writeResponse(conn, 200, request.Header.Get("X-Id"), headers, body)
		<-ended
	}
}

// eachUnframedCaller runs a test for each of unframedCallers with a stream that has begun and does not
// end before the test.
func eachUnframedCaller(t *testing.T, test func(t *testing.T, harness *harness, caller plainCaller)) {
	t.Helper()
	for name, kind := range unframedCallers {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, withReports)
			harness.trusted["engines"] = kind.trusted
			ended := make(chan struct{})
			defer close(ended)
			harness.addServer("a", reporting(1, beginStream(kind.trusted, ended)))
			harness.startedAt("a", 1)
			test(t, harness, harness.call("/stream/", kind.version, 5000))
		})
	}
}

// Guards against a stream that is given up because its caller sends no more, and looks whole to that caller, which still reads.
func TestGivenUpStreamLooksBrokenToCallersThatSendNoMore(t *testing.T) {
	eachUnframedCaller(t, func(t *testing.T, harness *harness, caller plainCaller) {
		reader := bufio.NewReader(caller)
		for line := ""; !strings.HasPrefix(line, "data: token 3"); {
			var err error
			line, err = reader.ReadString('\n')
			require.NoError(t, err)
		}
		require.NoError(t, caller.CloseWrite())
		_, err := io.ReadAll(reader)
		require.Error(t, err, "3 events of a stream that goes on: %s", harness.log.String())
	})
}
