package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sized returns a whole answer with a length.
func sized(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a second copy of an answer that arrives late, on a connection that is in
// use again: no caller may get an answer that is not its own, whatever the moment of the
// copy, and each must get its own where the server sends it.
func TestSecondCopies(t *testing.T) {
	for name, respond := range map[string]func(conn net.Conn, id, before string){
		"between requests": func(conn net.Conn, id, _ string) {
			_, _ = io.WriteString(conn, sized(id, "own "+id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, sized(id, "own "+id))
		},
		"behind the answer": func(conn net.Conn, id, _ string) {
			_, _ = io.WriteString(conn, sized(id, "own "+id)+sized(id, "own "+id))
		},
		"before the next answer": func(conn net.Conn, id, before string) {
			if before != "" {
				_, _ = io.WriteString(conn, sized(before, "own "+before))
			}
			_, _ = io.WriteString(conn, sized(id, "own "+id))
		},
		"before the next answer, in one write": func(conn net.Conn, id, before string) {
			_, _ = io.WriteString(conn, strings.Repeat(sized(before, "own "+before), min(1, len(before)))+sized(id, "own "+id))
		},
		"after an interim response": func(conn net.Conn, id, before string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			if before != "" {
				_, _ = io.WriteString(conn, sized(before, "own "+before))
			}
			_, _ = io.WriteString(conn, sized(id, "own "+id))
		},
		"inside the next head": func(conn net.Conn, id, before string) {
			answer := sized(id, "own "+id)
			if before != "" {
				answer = answer[:20] + sized(before, "own "+before) + answer[20:]
			}
			_, _ = io.WriteString(conn, answer)
		},
		"several copies": func(conn net.Conn, id, before string) {
			for range 3 * len(before) / max(1, len(before)) {
				_, _ = io.WriteString(conn, sized(before, "own "+before))
			}
			_, _ = io.WriteString(conn, sized(id, "own "+id))
		},
		"a stream behind the answer": func(conn net.Conn, id, _ string) {
			_, _ = io.WriteString(conn, sized(id, "own "+id))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: copy\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			var answered atomic.Int32
			harness.addServer("a", func(request *http.Request, conn net.Conn) {
				id := request.Header.Get("X-Id")
				respond(conn, id, request.Header.Get("X-Before"))
			})
			for number := range 30 {
				id, before := fmt.Sprint("id-", number), ""
				if number > 0 {
					before = fmt.Sprint("id-", number-1)
				}
				got := harness.post("/safe/", "body", "X-Id", id, "X-Before", before, "X-Timeout-Ms", "1000")
				if got.err == nil && got.status == http.StatusOK {
					require.Equal(t, "own "+id, got.body)
					answered.Add(1)
				}
			}
			if name != "inside the next head" {
				require.GreaterOrEqual(t, answered.Load(), int32(25))
			}
		})
	}
}
