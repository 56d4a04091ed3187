package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/budget"
	"primrosegw/io/front"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// newPipeListener returns a listener that accepts what its dial opens.
func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (listener *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	listener.conns <- theirs
	return ours
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	close(listener.closed)
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveHeads serves connections with limits of a second for a head and ten for an idle connection.
func serveHeads(t *testing.T) *pipeListener {
	listener := newPipeListener()
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
	})}
	times := func() front.HeadTimes { return front.HeadTimes{Idle: 10 * time.Second, Head: time.Second} }
	go func() { _ = front.NewHeads(budget.New(1<<20), times).Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// sendHead sends a head in two parts with a pause and returns the response, or the error if there is none.
func sendHead(t *testing.T, conn net.Conn, pause time.Duration) (*http.Response, error) {
	t.Helper()
	go func() {
		_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h.exa")
		time.Sleep(pause)
		_, _ = io.WriteString(conn, "mple\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(3 * time.Second)
		_, _ = io.WriteString(conn, "body")
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return response, err
}

// Guards against a head that is cut off because its connection was open for a while before it.
func TestLateHeadHasItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := serveHeads(t).dial()
		for range 3 {
			time.Sleep(9 * time.Second)
			response, err := sendHead(t, conn, 900*time.Millisecond)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
		_ = conn.Close()
	})
}

// dialAfter opens a connection on which a number of requests have been answered.
func dialAfter(t *testing.T, listener *pipeListener, requests int) net.Conn {
	t.Helper()
	conn := listener.dial()
	for range requests {
		_, err := sendHead(t, conn, 0)
		require.NoError(t, err)
	}
	return conn
}

// Guards against heads that take their time without end.
func TestTricklingHeadIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := serveHeads(t)
		for _, earlier := range []int{0, 1} {
			conn := dialAfter(t, listener, earlier)
			began := time.Now()
			_, err := sendHead(t, conn, 1100*time.Millisecond)
			require.Error(t, err)
			require.Equal(t, time.Second, time.Since(began))
			_ = conn.Close()
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against idle connections that are kept without end, or ended early.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := serveHeads(t)
		for _, earlier := range []int{0, 1} {
			conn := dialAfter(t, listener, earlier)
			began := time.Now()
			_, err := conn.Read(make([]byte, 1))
			require.Error(t, err)
			require.Equal(t, 10*time.Second, time.Since(began))
			_ = conn.Close()
		}
	})
}
