package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutModes are the ways in which a connection ends in the middle of an answer.
var cutModes = map[string]func(conn net.Conn){
	"reset": func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	},
	"closed": func(conn net.Conn) { _ = conn.Close() },
	// The server keeps the connection open without another byte.
	"silent": func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) },
}

// answerParts returns a whole answer in the parts between which it may be cut.
func answerParts(id string, stream bool) []string {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: yes\r\n"
	if !stream {
		return []string{"HTTP/1.1 200", strings.TrimPrefix(head, "HTTP/1.1 200"), "Content-Length: 8\r\n\r\n", "whole", "an", "s"}
	}
	event := func(number int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", number, number) }
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	return []string{
		"HTTP/1.1 200", strings.TrimPrefix(head, "HTTP/1.1 200"), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		chunk(event(1)), chunk(event(2)), "0\r\n\r\n",
	}
}

// cutAnswer returns a responder that sends so many parts of an answer and then ends the
// connection.
func cutAnswer(stream bool, parts int, end func(conn net.Conn)) responder {
	return func(request *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Join(answerParts(request.Header.Get("X-Id"), stream)[:parts], ""))
		end(conn)
	}
}

// wholeAnswer returns a responder that sends an answer without the events that the caller
// has already.
func wholeAnswer(stream bool) responder {
	return func(request *http.Request, conn net.Conn) {
		parts := answerParts(request.Header.Get("X-Id"), stream)
		if delivered, err := strconv.Atoi(request.Header.Get("X-Last")); err == nil {
			parts = append(parts[:3], parts[3+delivered:]...)
		}
		_, _ = io.WriteString(conn, strings.Join(parts, ""))
	}
}

// Guards against work that is run again after its answer was lost, and against telling the
// caller that it has not run: for each kind of request, each moment of the loss and each
// way in which the connection ends.
func TestLostAnswers(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		stream := path == "/stream/" || path == "/resume/"
		repeatable := path == "/safe/" || path == "/resume/"
		for parts := range answerParts("", stream) {
			for mode, end := range cutModes {
				t.Run(fmt.Sprintf("%s%d/%s", strings.Trim(path, "/"), parts, mode), func(t *testing.T) {
					t.Parallel()
					harness := newHarness(t, nil)
					// Whichever server is asked first loses its answer.
					respond := firstThen(cutAnswer(stream, parts, end), wholeAnswer(stream))
					harness.addServer("a", respond)
					harness.addServer("b", respond)
					began := time.Now()
					got := harness.post(path, "body", "X-Timeout-Ms", "1000")
					require.Less(t, time.Since(began), 8*time.Second)
					harness.requireTrueAnswer(t, got, stream, repeatable && mode != "silent")
				})
			}
		}
	}
}

// requireTrueAnswer checks what a caller is told after the first server has lost its
// answer.
func (harness *harness) requireTrueAnswer(t *testing.T, got response, stream, served bool) {
	t.Helper()
	want := "wholeans"
	if stream {
		want = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	}
	if served {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, want, got.body)
		require.Len(t, harness.requestsReceived(), 2)
		return
	}
	require.Len(t, harness.requestsReceived(), 1, "the work has run once")
	if got.err == nil {
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, "it may have run")
	}
	if got.status == http.StatusOK {
		require.Error(t, got.err, "a part of an answer must not look complete")
	}
}
