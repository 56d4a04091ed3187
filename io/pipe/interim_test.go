package pipe_test

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

	"primrosegw/core/fault"
	"primrosegw/io/pipe"
)

const longBody = 32 << 20

// Guards against a request that is cut off because its server says that it goes on reading it.
func TestInterimResponsesDoNotEndTheSending(t *testing.T) {
	long := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 10_000) + "\r\n\r\n"
	for name, interim := range map[string][]string{
		"continue":     {"HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":  {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"several":      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"in parts":     {"HTT", "P/1.1 10", "0 Continue\r", "\n\r", "\n"},
		"bare lines":   {"HTTP/1.1 100 Continue\n\n"},
		"long":         {long},
		"many":         {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)},
		"with a final": {"HTTP/1.1 100 Continue\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					for _, text := range interim {
						_, _ = io.WriteString(conn, text)
						time.Sleep(10 * time.Millisecond)
					}
					count, _ := io.Copy(io.Discard, request.Body)
					body := fmt.Sprint(count)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			})
			pool := pipe.New(pipe.Options{})
			for range 2 {
				conn := get(t, pool, address)
				response, body := roundTrip(t, conn, strings.Repeat("x", longBody))
				require.Equal(t, fmt.Sprint(longBody), body)
				conn.Release(response.Header)
			}
			require.Equal(t, 1, pool.OpenConnections("key"))
		})
	}
}

// Guards against a request that is sent on though its server has already answered, after an interim
// response, and against interim responses without end.
func TestWhatIsNoInterimResponseEndsTheSending(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		status int
	}{
		"final":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n", 413},
		"switching": {"HTTP/1.1 101 Switching Protocols\r\n\r\n", 0},
		"garbage":   {"garbage\r\n\r\n", 0},
		"short":     {"HTTX", 0},
		"endless":   {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100_000), 0},
		"no end":    {"HTTP/1.1 100 " + strings.Repeat("x", 1_000_000), 0},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = reader.Peek(1)
				_, _ = io.WriteString(conn, test.answer)
				time.Sleep(2 * time.Second)
			})
			conn := get(t, pipe.New(pipe.Options{}), address)
			began := time.Now()
			complete, err := conn.Send(newRequest(strings.Repeat("x", longBody)), testDeadline())
			require.NoError(t, err)
			require.False(t, complete)
			require.Less(t, time.Since(began), time.Second)
			response, err := conn.AwaitResponse(http.MethodPost, testDeadline())
			if test.status == 0 {
				require.True(t, fault.Is(err, pipe.Malformed) || fault.Is(err, pipe.Lost), err)
			} else {
				require.NoError(t, err)
				require.Equal(t, test.status, response.StatusCode)
			}
			conn.Discard()
		})
	}
}
