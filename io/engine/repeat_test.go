package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/io/engine"
)

// repeater is an engine that answers the first request of a connection, and writes that answer
// once more when it runs a further request of it.
func repeater(t *testing.T, first string, runs *atomic.Int64) *engine.Backend {
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
			if taken > 0 && request.Method == http.MethodPost {
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
	return engine.New("http://"+listener.Addr().String(), engine.NewClient())
}

// TestRepeatedAnswerIsNotTaken guards against an answer that an engine writes once more on a kept
// connection, while it runs the next call: that call would count as not run, or its caller would
// get the answer to another one.
func TestRepeatedAnswerIsNotTaken(t *testing.T) {
	stream := events(`{"choices":[{"text":"first"}]}`, "[DONE]")
	for name, answer := range map[string]string{
		"refusal":          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"refusal, body":    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\nfull",
		"refusal, chunked": "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"answer":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(stream), stream),
	} {
		var runs atomic.Int64
		backend := repeater(t, answer, &runs)
		for range 4 {
			_, err := generate(t.Context(), backend)
			if err != nil {
				assert.Equal(t, cell.Refused, fault.KindOf[cell.Kind](err), name)
			}
		}
		assert.Zero(t, runs.Load(), "%s: a call ran, and its caller got an earlier answer", name)
	}
}
