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

// Guards against an answer that is reset on its way because its caller has sent the next request to a host that drains.
func TestAnswerBesideTheNextRequestIsWhole(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	for _, isDraining := range []bool{false, true} {
		t.Run(fmt.Sprint("draining ", isDraining), func(t *testing.T) {
			harness := newHarness(t, nil)
			arrived, answer := make(chan struct{}, 2), make(chan struct{})
			harness.addServer("a", func(request *http.Request, conn net.Conn) {
				arrived <- struct{}{}
				<-answer
				respondWith(200, body, signed)(request, conn)
			})
			host := harness.watch(longTimes())
			if isDraining {
				harness.handler.Drain(time.Now().Add(9 * time.Second))
			}
			request := requestText("/once/", "x", "X-Timeout-Ms: 3000")
			conn := host.send(t, request)
			require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(32<<10))
			<-arrived
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			close(answer)
			// The caller begins to read a little late, so that a part of the answer has not left the host.
			time.Sleep(300 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err, "%d of %d bytes", len(content), len(body))
			require.Len(t, content, len(body))
		})
	}
}
