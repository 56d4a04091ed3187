package plain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/plain"
)

// repeater starts a service that answers the first request of a connection, and writes that answer
// once more when it runs a further request of it.
func repeater(t *testing.T, first string, runs *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for taken := 0; ; taken++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if taken > 0 {
				runs.Add(1)
			}
			_, _ = io.WriteString(conn, first)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestRepeatedAnswerIsNotTaken guards against an answer that a service writes once more on a kept
// connection, while it runs the next call: the caller of that one would be told that it was not
// run, or would get the answer to another call.
func TestRepeatedAnswerIsNotTaken(t *testing.T) {
	for name, answer := range map[string]string{
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"answer":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			var runs atomic.Int64
			url, service := repeater(t, answer, &runs), newService()
			for range 3 {
				_, err := service.Do(t.Context(), target(url), plain.Call{Method: method, Path: "x"})
				require.NoError(t, err)
			}
			assert.Zero(t, runs.Load(), "%s, %s: a call ran, and its caller got an earlier answer", name, method)
		}
	}
}
