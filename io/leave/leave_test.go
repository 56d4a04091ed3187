package leave_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/leave"
)

const (
	refusal  = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	firstGet = "GET /first HTTP/1.1\r\nHost: h.example\r\n\r\n"
	slowGet  = "GET /slow HTTP/1.1\r\nHost: h.example\r\n\r\n"
	// longTime is more than any step takes.
	longTime = 20 * time.Second
)

// host is a server that leaves. Its handler of /slow sends a part of the response and waits for release.
type host struct {
	t       *testing.T
	address string
	server  *http.Server
	conns   *leave.Conns
	begun   chan struct{}
	release chan struct{}
	left    chan error
}

func newHost(t *testing.T) *host {
	host := &host{t: t, conns: leave.New(refusal), begun: make(chan struct{}), release: make(chan struct{}), left: make(chan error, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("/slow", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "slow ")
		_ = http.NewResponseController(writer).Flush()
		host.begun <- struct{}{}
		<-host.release
		_, _ = io.WriteString(writer, "end")
	})
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(writer, request.URL.Path+" "+string(body))
	})
	host.server = &http.Server{Handler: host.conns.Handler(mux), ConnState: host.conns.Track}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	host.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- host.server.Serve(host.conns.Listen(listener)) }()
	t.Cleanup(func() {
		_ = host.server.Close()
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return host
}

// leave begins Leave, and returns when the listener is closed.
func (host *host) leave() {
	go func() { host.left <- host.conns.Leave(host.t.Context()) }()
	require.Eventually(host.t, func() bool {
		conn, err := net.Dial("tcp4", host.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, longTime, time.Millisecond)
}

func (host *host) requireLeft() {
	host.t.Helper()
	select {
	case err := <-host.left:
		require.NoError(host.t, err)
	case <-time.After(longTime):
		require.Fail(host.t, "connections stay open")
	}
}

// caller is a connection to the host.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (host *host) dial() *caller {
	conn, err := net.Dial("tcp4", host.address)
	require.NoError(host.t, err)
	host.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(longTime))
	return &caller{t: host.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (caller *caller) send(text string) {
	caller.t.Helper()
	_, err := io.WriteString(caller.conn, text)
	require.NoError(caller.t, err)
}

// read reads a response, and returns its status, its body and whether it announces that the connection is closed.
func (caller *caller) read() (status int, body string, closes bool) {
	caller.t.Helper()
	response, err := http.ReadResponse(caller.reader, nil)
	require.NoError(caller.t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(caller.t, err)
	return response.StatusCode, string(content), response.Close
}

func (caller *caller) requireAnswer(body string) {
	caller.t.Helper()
	status, content, closes := caller.read()
	require.Equal(caller.t, http.StatusOK, status)
	require.Equal(caller.t, body, content)
	require.True(caller.t, closes)
}

func (caller *caller) requireClosed() {
	caller.t.Helper()
	_, err := caller.reader.ReadByte()
	require.ErrorIs(caller.t, err, io.EOF)
}

// use sends a first request, so that the connection is a kept one.
func (caller *caller) use() *caller {
	caller.send(firstGet)
	status, _, closes := caller.read()
	require.Equal(caller.t, http.StatusOK, status)
	require.False(caller.t, closes)
	return caller
}

// Guards against a request that is dropped because its head ends after the host has begun to leave.
func TestArrivingHeadIsAnswered(t *testing.T) {
	for name, prepare := range map[string]func(*host) *caller{
		"new":  func(host *host) *caller { return host.dial() },
		"kept": func(host *host) *caller { return host.dial().use() },
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t)
			slow, caller := host.dial(), prepare(host)
			slow.send(slowGet)
			<-host.begun
			caller.send("POST /late HTTP/1.1\r\nHost: h.exa")
			host.leave()
			caller.send("mple\r\nContent-Length: 4\r\n\r\nbody")
			caller.requireAnswer("/late body")
			close(host.release)
			_, body, _ := slow.read()
			require.Equal(t, "slow end", body)
			host.requireLeft()
		})
	}
}

// Guards against a request that is dropped because it was sent behind another one, whose response did not
// announce that the connection is closed.
func TestPipelinedRequestIsAnswered(t *testing.T) {
	host := newHost(t)
	caller := host.dial()
	caller.send(slowGet + "POST /next HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody")
	<-host.begun
	host.leave()
	close(host.release)
	_, body, closes := caller.read()
	require.Equal(t, "slow end", body)
	require.False(t, closes)
	caller.requireAnswer("/next body")
	host.requireLeft()
}

// Guards against a connection that is closed before the first request of its caller, who has just connected,
// and against a host that waits for requests that do not come.
func TestNewConnectionGetsTimeForItsRequest(t *testing.T) {
	host := newHost(t)
	idle, fresh := host.dial().use(), host.dial()
	host.leave()
	fresh.send(firstGet)
	fresh.requireAnswer("/first ")
	idle.requireClosed()
	host.requireLeft()
}

// Guards against a request that is closed without a word because it has not arrived when its host ends.
func TestPartOfAHeadIsRefusedAtTheEnd(t *testing.T) {
	host := newHost(t)
	idle, slow, part := host.dial().use(), host.dial(), host.dial()
	slow.send(slowGet)
	<-host.begun
	part.send("POST /late HTTP/1.1\r\nHost: h.exa")
	host.leave()
	ended := make(chan error, 1)
	go func() { ended <- host.conns.End(t.Context()) }()
	status, _, closes := part.read()
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.True(t, closes)
	idle.requireClosed()
	close(host.release)
	_, body, _ := slow.read()
	require.Equal(t, "slow end", body)
	require.NoError(t, <-ended)
	host.requireLeft()
}

// Guards against an end that waits for a response for longer than its context.
func TestEndStopsWithItsContext(t *testing.T) {
	host := newHost(t)
	slow := host.dial()
	slow.send(slowGet)
	<-host.begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, host.conns.End(ctx), context.Canceled)
	close(host.release)
	slow.read()
}

// Guards against a connection that is closed although bytes of a request have arrived that were not read yet.
func TestUnreadRequestIsRead(t *testing.T) {
	conns := leave.New(refusal)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := conns.Listen(inner)
	client, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	conn, err := listener.Accept()
	require.NoError(t, err)
	left := make(chan error, 1)
	go func() { left <- conns.Leave(t.Context()) }()
	buffer := make([]byte, 10)
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = io.WriteString(client, "GET /")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		count, _ := conn.Read(buffer)
		return count == 5
	}, longTime, time.Millisecond)
	require.NoError(t, conn.Close())
	require.NoError(t, <-left)
}

// Guards against callers who have connected and are reset because the listener is closed before it accepts them.
func TestConnectedCallersAreAccepted(t *testing.T) {
	conns := leave.New(refusal)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := conns.Listen(inner)
	for range 3 {
		client, err := net.Dial("tcp4", inner.Addr().String())
		require.NoError(t, err)
		defer client.Close()
	}
	left := make(chan error, 1)
	go func() { left <- conns.Leave(t.Context()) }()
	for range 3 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, http.ErrServerClosed)
	require.NoError(t, <-left)
}
