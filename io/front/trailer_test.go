package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response that looks whole because the trailer is dropped in which its server reports a
// failure.
func TestTrailersArePassedOn(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nTransfer-Encoding: chunked\r\n"
	trailer := "0\r\nX-Failure: overload\r\nContent-Length: 3\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n"
	long := strings.Repeat("x", 200<<10)
	for name, test := range map[string]struct{ path, head, body string }{
		"short":       {"/safe/", "\r\n", "some"},
		"announced":   {"/safe/", "Trailer: X-Failure\r\n\r\n", "some"},
		"long":        {"/safe/", "\r\n", long},
		"stream":      {"/stream/", "Content-Type: text/event-stream\r\n\r\n", events(1, 3)},
		"without any": {"/safe/", "\r\n", "some"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := trailer
			if name == "without any" {
				end = "0\r\n\r\n"
			}
			harness := newHarness(t, nil)
			harness.addServer("a", func(request *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", request.Header.Get("X-Id"))+test.head+chunk(test.body)+end)
			})
			conn := harness.dial()
			_, err := io.WriteString(conn, requestHead(test.path, "one", 5000, 0))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, test.body, string(body))
			if name == "without any" {
				require.Empty(t, response.Trailer)
				return
			}
			require.Equal(t, http.Header{"X-Failure": {"overload"}}, response.Trailer)
		})
	}
}
