package pipe_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/pipe"
)

// Guards against a response whose end is found in the wrong way: its length or its chunks are
// not seen, so that a part of it looks whole.
func TestHiddenFramingIsMalformed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 10",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\ncontent-length : 10",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-encoding: chunked",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	} {
		require.Equal(t, pipe.Malformed, fault.KindOf[pipe.Kind](answerOf(t, head)), head)
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Own : 1", "HTTP/1.0 200 OK\r\nContent-Length: 4", "HTTP/1.0 200 OK",
	} {
		require.NoError(t, answerOf(t, head), head)
	}
}

// answerOf returns the error of a response with a head.
func answerOf(t *testing.T, head string) error {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(head + "\r\n\r\n4\r\nten "))
		}
	}()
	conn, err := pipe.New(pipe.Options{}).Get(t.Context(), "a", listener.Addr().String(), 0)
	require.NoError(t, err)
	defer conn.Discard()
	_, err = conn.Send(pipe.Request{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(time.Second))
	require.NoError(t, err)
	_, err = conn.AwaitResponse(http.MethodGet, time.Now().Add(time.Second))
	return err
}
