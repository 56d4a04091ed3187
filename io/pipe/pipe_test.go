package pipe_test

import (
	"bufio"
	"context"
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

// serve runs a script on each connection to a backend server.
func serve(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

func soon() time.Time { return time.Now().Add(10 * time.Second) }

func get(t *testing.T, pool *pipe.Pool, address string) *pipe.Conn {
	t.Helper()
	conn, err := pool.Get(t.Context(), "key", address, 0)
	require.NoError(t, err)
	return conn
}

func message(body string) pipe.Message {
	return pipe.Message{Method: http.MethodPost, Target: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"X-Id": {"1"}}, Body: []byte(body)}
}

func exchange(t *testing.T, conn *pipe.Conn, body string) (pipe.Answer, string) {
	t.Helper()
	whole, err := conn.Send(message(body), soon())
	require.NoError(t, err)
	require.True(t, whole)
	answer, err := conn.Await(http.MethodPost, soon())
	require.NoError(t, err)
	content, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer, string(content)
}

// echo answers each request with its body.
func echo(conn net.Conn, reader *bufio.Reader) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\nX-Target: " + request.RequestURI + "\r\n\r\n" + string(body)))
	}
}

func itoa(number int) string {
	if number < 10 {
		return string(rune('0' + number))
	}
	return itoa(number/10) + itoa(number%10)
}

// Guards against a connection for each request, and against a target or body
// that is changed on the way.
func TestConnectionIsReused(t *testing.T) {
	opened := 0
	pool := pipe.New(pipe.Options{Opened: func(string) { opened++ }})
	address := serve(t, echo)
	for range 3 {
		conn := get(t, pool, address)
		answer, body := exchange(t, conn, "some body")
		require.Equal(t, "some body", body)
		require.Equal(t, "/a/b?c=%20d", answer.Header.Get("X-Target"))
		conn.Reuse(answer.Header)
	}
	require.Equal(t, 1, opened)
	require.Equal(t, 1, pool.Open("key"))
	pool.Sweep(time.Now().Add(time.Hour))
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against bytes that belong to no request and are taken for the answer to
// the next one.
func TestStrayBytesEndAnIdleConnection(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(20 * time.Millisecond)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"))
		_, _ = io.Copy(io.Discard, reader)
	})
	pool := pipe.New(pipe.Options{})
	conn := get(t, pool, address)
	answer, _ := exchange(t, conn, "")
	conn.Reuse(answer.Header)
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
	require.True(t, get(t, pool, address).Fresh)
}

// Guards against a request on a connection that the server has closed, which
// would leave open whether it ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	})
	pool := pipe.New(pipe.Options{})
	conn := get(t, pool, address)
	answer, _ := exchange(t, conn, "")
	conn.Reuse(answer.Header)
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
	require.True(t, get(t, pool, address).Fresh)
}

// Guards against a kept connection past the time for which the server keeps it.
func TestKeepAliveTimeIsHonoured(t *testing.T) {
	pool := pipe.New(pipe.Options{})
	address := serve(t, echo)
	conn := get(t, pool, address)
	_, _ = exchange(t, conn, "x")
	conn.Reuse(http.Header{"Keep-Alive": {"timeout=2, max=10"}})
	pool.Sweep(time.Now().Add(time.Second))
	require.Equal(t, 1, pool.Open("key"))
	pool.Sweep(time.Now().Add(2 * time.Second))
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
	conn = get(t, pool, address)
	_, _ = exchange(t, conn, "x")
	conn.Reuse(http.Header{"Keep-Alive": {"timeout=0"}})
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a connection opened in advance that is not used, or is used
// wrongly: its watcher must not take the answer's bytes.
func TestUnusedConnectionIsKept(t *testing.T) {
	pool := pipe.New(pipe.Options{})
	address := serve(t, echo)
	get(t, pool, address).Keep()
	for range 3 {
		conn := get(t, pool, address)
		require.Equal(t, 1, pool.Open("key"))
		answer, body := exchange(t, conn, "x")
		require.Equal(t, "x", body)
		conn.Reuse(answer.Header)
		get(t, pool, address).Keep()
	}
	pool.Sweep(time.Now().Add(pipe.DefaultIdleTimeout + time.Second))
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a request whose body is sent on after the server has answered,
// and against one that hangs since neither side reads.
func TestEarlyAnswerEndsTheSending(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = reader.Peek(1)
		_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(10 * time.Second)
	})
	conn := get(t, pipe.New(pipe.Options{}), address)
	whole, err := conn.Send(message(strings.Repeat("x", 32<<20)), soon())
	require.NoError(t, err)
	require.False(t, whole)
	answer, err := conn.Await(http.MethodPost, soon())
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, answer.StatusCode)
	conn.Discard()
}

// Guards against a lost request that is reported as one that never left, and the
// other way round.
func TestErrorsTellWhatMayHaveRun(t *testing.T) {
	pool := pipe.New(pipe.Options{DialTimeout: time.Second})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = pool.Get(t.Context(), "closed", closed, 0)
	require.True(t, fault.Is(err, pipe.Unreachable))
	require.Zero(t, pool.Open("closed"))

	for text, kind := range map[string]pipe.Kind{"": pipe.Lost, "no answer at all\r\n\r\n": pipe.Malformed, "HTTP/1.1 200 OK\r\nCont": pipe.Malformed} {
		address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = conn.Write([]byte(text))
		})
		conn, err := pool.Get(t.Context(), address, address, 0)
		require.NoError(t, err)
		_, err = conn.Send(message("x"), soon())
		require.NoError(t, err)
		_, err = conn.Await(http.MethodPost, soon())
		require.True(t, fault.Is(err, kind), "%q: %v", text, err)
		conn.Discard()
	}
}

// Guards against more connections than a host's share, and against waiting on a
// server past the deadline.
func TestLimits(t *testing.T) {
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) })
	pool := pipe.New(pipe.Options{})
	conn, err := pool.Get(t.Context(), "key", address, 1)
	require.NoError(t, err)
	_, err = pool.Get(t.Context(), "key", address, 1)
	require.True(t, fault.Is(err, pipe.Crowded))
	_, err = conn.Send(message("x"), soon())
	require.NoError(t, err)
	_, err = conn.Await(http.MethodPost, time.Now().Add(20*time.Millisecond))
	require.True(t, fault.Is(err, pipe.Lost))
	conn.Discard()
	require.Eventually(t, func() bool { return pool.Open("key") == 0 }, 10*time.Second, time.Millisecond)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Get(cancelled, "key", address, 1)
	require.True(t, fault.Is(err, pipe.Unreachable))
}

// Guards against interim answers that are taken for the final one.
func TestInterimAnswersAreSkipped(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
		_, _ = io.Copy(io.Discard, reader)
	})
	conn := get(t, pipe.New(pipe.Options{}), address)
	answer, _ := exchange(t, conn, "x")
	require.Equal(t, http.StatusNoContent, answer.StatusCode)
	require.True(t, answer.KeepAlive)
	conn.Discard()
}
