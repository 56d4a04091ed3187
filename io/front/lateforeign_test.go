package front_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a sound answer that is lost because its server falls silent within a late answer to another
// request, which stands before it on the connection.
func TestSilenceWithinAForeignAnswerLosesNoOwnOne(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.addServer("a", func(request *http.Request, conn net.Conn) {
				first, second := "late ", "answer"
				if framing == "chunks" {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: another\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n%s", signed, chunk(first))
					second = chunk(second) + "0\r\n\r\n"
				} else {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: another\r\n%s\r\nContent-Length: %d\r\n\r\n%s", signed, len(first)+len(second), first)
				}
				time.Sleep(1200 * time.Millisecond)
				_, _ = conn.Write([]byte(second))
				respondWith(200, "own", signed)(request, conn)
			})
			got := harness.post("/once/", "x")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, harness.log.String())
			require.Equal(t, "own", got.body)
		})
	}
}
