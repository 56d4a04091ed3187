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

	"primrosegw/core/budget"
	"primrosegw/io/front"
)

// Guards against long heads of requests that fill the memory, heads whose memory is not given back,
// and bodies and unread rests of bodies that are counted as heads.
func TestLongHeadsTakeFromTheBudget(t *testing.T) {
	limited := budget.New(1 << 20)
	var held []int64
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		held = append(held, limited.Used())
		if request.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	})}
	go func() {
		_ = front.NewHeads(limited, func() front.HeadTimes { return front.HeadTimes{Idle: time.Minute, Head: time.Minute} }).Serve(server, listener)
	}()
	defer server.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(path string, head, body int) *http.Response {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nLong: %s\r\nContent-Length: %d\r\n\r\n%s",
			path, strings.Repeat("x", head), body, strings.Repeat("y", body))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		return response
	}
	for _, head := range []int{10, 60_000, 10, 60_000} {
		require.Equal(t, http.StatusOK, send("/read", head, 200_000).StatusCode)
		require.Equal(t, http.StatusOK, send("/leave", head, 200_000).StatusCode)
	}
	require.Zero(t, held[0], "a short head is free")
	require.Greater(t, held[2], int64(4*55_000))
	require.Less(t, held[2], int64(4*65_000))
	givenBack := func() bool { return limited.Used() == 0 }
	require.Eventually(t, givenBack, 10*time.Second, time.Millisecond)
	other := limited.Open()
	require.NoError(t, other.Take(1<<20-100_000))
	response := send("/read", 60_000, 0)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Len(t, held, 8, "the refused request is not run")
	other.Release()
	require.Eventually(t, givenBack, 10*time.Second, time.Millisecond)
}
