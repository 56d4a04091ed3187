package entry_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/entry"
)

const (
	firstHeadTime = 300 * time.Millisecond
	firstIdleTime = 3 * time.Second
)

// serveFirstHeads serves connections with the limits above and returns a function that opens one.
func serveFirstHeads(t *testing.T, isTLS bool) func() net.Conn {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	}))
	server.Config.ReadHeaderTimeout, server.Config.IdleTimeout = firstHeadTime, firstIdleTime
	server.Listener = entry.GiveFirstHeadsTheirTime(server.Listener, firstIdleTime, isTLS)
	if isTLS {
		server.StartTLS()
	} else {
		server.Start()
	}
	t.Cleanup(server.Close)
	return func() net.Conn {
		conn := dial(t, server.Listener.Addr().String())
		if !isTLS {
			return conn
		}
		secure := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, secure.Handshake())
		return secure
	}
}

// Guards against a first head that is cut off because its connection was open for a while before it, and
// against one that takes its time without end, also on a connection that is used again.
func TestFirstHeadHasItsOwnTime(t *testing.T) {
	for _, isTLS := range []bool{false, true} {
		t.Run(fmt.Sprint("tls ", isTLS), func(t *testing.T) {
			t.Parallel()
			open := serveFirstHeads(t, isTLS)
			conn := open()
			reader := bufio.NewReader(conn)
			for _, wait := range []time.Duration{3 * firstHeadTime, 0, 3 * firstHeadTime} {
				time.Sleep(wait)
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
				require.NoError(t, err)
				time.Sleep(2 * firstHeadTime)
				_, err = io.WriteString(conn, "body")
				require.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
			}
			for _, begun := range []string{"POST / HT", "P"} {
				conn := open()
				time.Sleep(2 * firstHeadTime)
				_, err := io.WriteString(conn, begun)
				require.NoError(t, err)
				began := time.Now()
				_, err = io.ReadAll(conn)
				require.Less(t, time.Since(began), firstIdleTime-2*firstHeadTime, "%v", err)
			}
			silent, began := open(), time.Now()
			_, err := io.ReadAll(silent)
			require.Less(t, time.Since(began), 2*firstIdleTime, "%v", err)
		})
	}
}
