package front_test

import (
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxAllocated is the memory that one endless response may make a host allocate.
	maxAllocated = 16 << 20
	// endlessTime is how long an endless response goes on unless the host closes the
	// connection.
	endlessTime = 20 * time.Second
	// maxEndlessTime is how long a host may read an endless response.
	maxEndlessTime = 5 * time.Second
)

// endless returns a responder that sends the start of a response and then repeats a text
// until the host closes the connection. Closed receives how long that took.
func endless(start, repeated string, closed chan<- time.Duration) responder {
	return func(request *http.Request, conn net.Conn) {
		began := time.Now()
		_, err := conn.Write([]byte(strings.ReplaceAll(start, "ID", request.Header.Get("X-Id"))))
		block := []byte(strings.Repeat(repeated, 1+16<<10/len(repeated)))
		_ = conn.SetWriteDeadline(began.Add(endlessTime))
		for err == nil {
			_, err = conn.Write(block)
		}
		closed <- time.Since(began)
		_ = conn.Close()
	}
}

// Guards against bytes without end that are no answer: they must not fill the host's
// memory, must end at once, and must never look like a complete answer.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n"
	const stream = head + "Content-Type: text/event-stream\r\n"
	for name, test := range map[string]struct{ start, repeated string }{
		"header lines":           {head, "X-More: value\r\n"},
		"one header line":        {head + "X-Long: ", "value"},
		"status line":            {"HTTP/1.1 200 ", "OK"},
		"no line end":            {"", "garbage"},
		"empty lines":            {"", "\r\n"},
		"interim responses":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk length":           {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":        {head + "Transfer-Encoding: chunked\r\n\r\n5;a=", "b"},
		"trailers":               {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: value\r\n"},
		"body until close":       {head + "Connection: close\r\n\r\n", "body"},
		"event":                  {stream + "Connection: close\r\n\r\ndata: ", "word "},
		"events without an id":   {stream + "Connection: close\r\n\r\n", ": comment\n"},
		"answer of another":      {"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: yes\r\nContent-Length: 1000000000000\r\n\r\n", "body"},
		"answers of another":     {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n"},
		"declined":               {"HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 1000000000000\r\n\r\n", "body"},
		"unsigned":               {"HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 1000000000000\r\n\r\n", "body"},
		"failure of the server":  {"HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Length: 1000000000000\r\n\r\n", "body"},
		"behind a whole answer":  {head + "Content-Length: 4\r\n\r\nbody", "more"},
		"behind the last chunk":  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "more"},
		"behind a whole refusal": {"HTTP/1.1 421 Other\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", "more"},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, nil)
			closed := make(chan time.Duration, 4)
			harness.addServer("a", endless(test.start, test.repeated, closed))
			before := allocated()
			got := harness.post("/once/", "body")
			require.Less(t, <-closed, maxEndlessTime)
			require.Less(t, allocated()-before, uint64(maxAllocated))
			if strings.HasPrefix(name, "behind a whole answer") || strings.HasPrefix(name, "behind the last chunk") {
				require.NoError(t, got.err)
				require.Equal(t, "body", got.body)
				return
			}
			if got.err == nil {
				require.GreaterOrEqual(t, got.status, 500)
			}
		})
	}
}

// allocated returns the bytes that the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against a host that takes the rest of a long refusal for the answer to the next
// request on the connection.
func TestLongRefusalIsNotReused(t *testing.T) {
	const read = 64 << 10
	const rest = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: yes\r\nContent-Length: 5\r\n\r\nwrong"
	harness := newHarness(t, nil)
	var requests atomic.Int32
	var first net.Conn
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		if requests.Add(1) == 1 {
			first = conn
			length := "Content-Length: " + strconv.Itoa(read+len(rest))
			writeResponse(conn, http.StatusServiceUnavailable, request.Header.Get("X-Id"), []string{"X-Not-Run: 1", length}, strings.Repeat("x", read))
			return
		}
		if conn == first {
			_, _ = conn.Write([]byte(rest))
		}
		respondWith(http.StatusOK, "fine", signed)(request, conn)
	})
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/once/", "first").status)
	require.Less(t, time.Since(began), 3*time.Second, "the caller need not wait for the rest")
	got := harness.post("/once/", "second")
	require.NoError(t, got.err)
	require.Equal(t, "fine", got.body)
}
