package pipe_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"primrosegw/io/pipe"
)

// FuzzResponse guards against bytes of a backend server that end or block the process.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	answers := make(chan []byte, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write(<-answers)
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		pool := pipe.New(pipe.Options{})
		conn, err := pool.Get(t.Context(), "key", listener.Addr().String(), 0)
		if err != nil {
			t.Skip("the listener does not keep up")
		}
		defer conn.Discard()
		answers <- data
		if _, err := conn.Send(newRequest("body"), time.Now().Add(10*time.Second)); err != nil {
			return
		}
		response, err := conn.AwaitResponse(http.MethodPost, time.Now().Add(10*time.Second))
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
		}
	})
}
