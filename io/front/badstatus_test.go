package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
	"primrosegw/core/fleet"
)

// answerWithStatus returns a responder that answers with a status line as it is, signed and with the
// request's ID, and closes the connection.
func answerWithStatus(status, rest string) responder {
	return func(request *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nX-Id: "+request.Header.Get("X-Id")+"\r\n"+signed+"\r\n"+rest)
		_ = conn.Close()
	}
}

// Guards against an answer of a server in trouble whose status is none, which reaches the caller, or which
// counts as a cut of the service's connections: after one cut the unframed responses of all servers of the
// service are not passed on for ten minutes.
func TestAnswerWithAnInvalidStatusCostsNoOther(t *testing.T) {
	for _, status := range []string{"000 Trouble", "000", "099 Odd", "600 Odd", "999 Odd"} {
		for name, rest := range map[string]string{"framed": "Content-Length: 4\r\n\r\npart", "unframed": "\r\npart", "no body": "\r\n"} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				harness := newHarness(t, nil)
				harness.addServer("a", answerWithStatus(status, rest))
				got := harness.post("/once/", "x")
				require.Equal(t, http.StatusBadGateway, got.status, harness.log.String())
				require.NotContains(t, got.body, "part")
				require.Never(t, func() bool {
					return harness.cuts.Status("engines", "", true, time.Now()) != ending.Unseen
				}, 50*time.Millisecond, 5*time.Millisecond, harness.log.String())
			})
		}
	}
}

// Guards against a request that may be repeated and is not, as its first answer has no valid status.
func TestRequestIsRepeatedAfterAnInvalidStatus(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", answerWithStatus("000 Trouble", "Content-Length: 4\r\n\r\npart"))
	harness.addServer("b", respondWith(http.StatusOK, "whole", signed))
	for range 4 {
		got := harness.post("/safe/", "x")
		require.Equal(t, http.StatusOK, got.status, harness.log.String())
		require.Equal(t, "whole", got.body)
	}
}

// Guards against a part of an answer that is passed on as a whole one: the server answers a long upload at
// once with a 200 that has no length, sends a part and resets the connection while the upload is still
// being written. Either the write or the read may fail first, and the part may arrive with the reset.
func TestEarlyAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Id: id-1\r\n" + signed + "\r\n\r\n"
	for name, answer := range map[string]func(conn net.Conn){
		"reset at once": func(conn net.Conn) { _, _ = io.WriteString(conn, head+"part") },
		"reset after a pause": func(conn net.Conn) {
			_, _ = io.WriteString(conn, head+"part")
			time.Sleep(30 * time.Millisecond)
		},
		"head and part apart": func(conn net.Conn) {
			_, _ = io.WriteString(conn, head)
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, "part")
		},
		"within the head": func(conn net.Conn) { _, _ = io.WriteString(conn, head[:len(head)-4]) },
	} {
		for _, size := range []int{300_000, 1_000_000} {
			for _, path := range []string{"/once/", "/safe/"} {
				t.Run(name+path, func(t *testing.T) {
					t.Parallel()
					harness := newHarness(t, nil)
					harness.addUploadServer("a", answer)
					attempts := 3
					if name == "reset at once" {
						// Which fails first varies here. Without a guard of the body's end, 3 attempts found the
						// fault in 4 of 15 runs.
						attempts = 100
					}
					for range attempts {
						got := harness.post(path, strings.Repeat("x", size))
						require.False(t, got.err == nil && got.status == http.StatusOK, "%q is taken for whole\n%s", got.body, harness.log.String())
					}
				})
			}
		}
	}
}

// addUploadServer registers a backend server that reads the head and a part of the body of each request,
// answers and resets the connection.
func (harness *harness) addUploadServer(id string, answer func(conn net.Conn)) {
	listener := harness.listen(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil && request.URL.Path == "/health" {
			respondWith(http.StatusOK, "", "X-Instance: "+id)(request, conn)
		} else if err == nil {
			_, _ = io.CopyN(io.Discard, request.Body, 16<<10)
			answer(conn)
		}
		resetConnection(request, conn)
	})
	harness.servers[id] = fleet.Server{ID: id, Service: "engines", Address: listener.Addr().String()}
	harness.fleet.Put(harness.servers[id])
}
