package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/budget"
	"primrosegw/io/front"
)

// oneWayDelay is the delay of the link between a caller and its host.
const oneWayDelay = 3 * time.Millisecond

// delayLink connects two ends with oneWayDelay in each direction, also for their closing.
func delayLink(near, far net.Conn) {
	carry := func(from, to net.Conn) {
		type part struct {
			bytes []byte
			due   time.Time
		}
		parts := make(chan part, 1024)
		go func() {
			defer close(parts)
			for {
				buffer := make([]byte, 4096)
				count, err := from.Read(buffer)
				parts <- part{buffer[:count], time.Now().Add(oneWayDelay)}
				if err != nil {
					return
				}
			}
		}()
		for part := range parts {
			time.Sleep(time.Until(part.due))
			if len(part.bytes) > 0 {
				_, _ = to.Write(part.bytes)
			}
		}
		_ = to.Close()
	}
	go carry(near, far)
	go carry(far, near)
}

// dialFar opens a connection behind a link with a delay.
func (listener *pipeListener) dialFar() net.Conn {
	ours, near := net.Pipe()
	delayLink(near, listener.dial())
	return ours
}

// serveIdle serves connections with a limit for idle ones that may change.
func serveIdle(t *testing.T, limit *atomic.Int64, handler http.HandlerFunc) *pipeListener {
	return serveLimited(t, limit, nil, handler)
}

// serveLimited is serveIdle with a limit for the number of connections.
func serveLimited(t *testing.T, limit *atomic.Int64, connections *front.Connections, handler http.HandlerFunc) *pipeListener {
	listener := newPipeListener()
	server := &http.Server{Handler: handler}
	times := func() front.HeadTimes {
		return front.HeadTimes{Idle: time.Duration(limit.Load()), Head: time.Second}
	}
	heads := front.NewHeads(budget.New(1<<20), times)
	heads.LimitIdle(connections)
	go func() { _ = heads.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// idleLimit returns a limit for idle connections.
func idleLimit(limit time.Duration) *atomic.Int64 {
	held := &atomic.Int64{}
	held.Store(int64(limit))
	return held
}

// idleCaller keeps one connection and uses it again for as long as it may.
type idleCaller struct {
	dial   func() net.Conn
	conn   net.Conn
	reader *bufio.Reader
	// usableUntil is until when the host has said that it keeps the connection; zero: it has not.
	usableUntil time.Time
	opened      int
}

const plainRequest = "POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody"

// send sends a request and returns the response, or the error if there is none.
func (caller *idleCaller) send(request string) (*http.Response, error) {
	if !caller.usableUntil.IsZero() && !time.Now().Before(caller.usableUntil) {
		caller.close()
	}
	if caller.conn == nil {
		caller.conn, caller.usableUntil = caller.dial(), time.Time{}
		caller.reader = bufio.NewReader(caller.conn)
		caller.opened++
	}
	if _, err := io.WriteString(caller.conn, request); err != nil {
		return nil, err
	}
	method, _, _ := strings.Cut(request, " ")
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	if told := toldTime(response.Header); told > 0 {
		caller.usableUntil = time.Now().Add(told)
	}
	if response.Close {
		caller.close()
	}
	return response, nil
}

// close closes the connection, if there is one.
func (caller *idleCaller) close() {
	if caller.conn != nil {
		_ = caller.conn.Close()
		caller.conn = nil
	}
}

// toldTime returns how long the host keeps an idle connection by its Keep-Alive header; 0: it does not say.
func toldTime(header http.Header) time.Duration {
	number, _ := strings.CutPrefix(header.Get("Keep-Alive"), "timeout=")
	whole, _ := strconv.Atoi(number)
	return time.Duration(whole) * time.Second
}

func readBody(_ http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
}

// Guards against a request that gets no answer because it crosses the close of its idle connection.
func TestRequestNearTheIdleLimitIsAnswered(t *testing.T) {
	var lost []string
	for _, limit := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 15 * time.Second} {
		for _, early := range []time.Duration{3001, 3000, 2999, 1001, 1000, 10, 5, 4, 3, 2, 1, 0} {
			pause := limit - early*time.Millisecond
			if pause < 0 {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				caller := &idleCaller{dial: serveIdle(t, idleLimit(limit), readBody).dialFar}
				_, err := caller.send(plainRequest)
				require.NoError(t, err)
				time.Sleep(pause)
				if _, err = caller.send(plainRequest); err != nil {
					lost = append(lost, fmt.Sprintf("limit %v, pause %v: %v", limit, pause, err))
				}
				caller.close()
				time.Sleep(time.Minute)
			})
		}
	}
	require.Empty(t, lost)
}

// Guards against a connection that ends before the time that its last response told, because a new
// version of the configuration lowers the limit.
func TestLoweredIdleLimitKeepsToWhatWasTold(t *testing.T) {
	for _, duringResponse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			limit := idleLimit(15 * time.Second)
			listener := serveIdle(t, limit, func(writer http.ResponseWriter, request *http.Request) {
				readBody(writer, request)
				writer.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(time.Second)
			})
			caller := &idleCaller{dial: listener.dialFar}
			if duringResponse {
				time.AfterFunc(500*time.Millisecond, func() { limit.Store(int64(3 * time.Second)) })
			}
			response, err := caller.send(plainRequest)
			require.NoError(t, err)
			told := toldTime(response.Header)
			require.Equal(t, 12*time.Second, told)
			limit.Store(int64(3 * time.Second))
			time.Sleep(told - time.Millisecond)
			response, err = caller.send(plainRequest)
			require.NoError(t, err)
			require.Equal(t, time.Second, toldTime(response.Header))
			require.Equal(t, 1, caller.opened)
			began := time.Now()
			_, err = caller.conn.Read(make([]byte, 1))
			require.Error(t, err)
			require.InDelta(t, 3*time.Second, time.Since(began), float64(4*oneWayDelay), "the new limit holds from the next response on")
			_ = caller.conn.Close()
			time.Sleep(time.Minute)
		})
	}
}

// lateListener accepts connections whose Read has timed out by the time that it is called, like that of a
// process that was paused, although bytes have arrived.
type lateListener struct{ net.Listener }

func (listener lateListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return &lateConn{Conn: conn}, err
}

type lateConn struct {
	net.Conn
	reads int
}

// Read implements net.Conn. Every second time, it comes after the deadline.
func (conn *lateConn) Read(buffer []byte) (int, error) {
	conn.reads++
	if conn.reads%2 == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return conn.Conn.Read(buffer)
}

// Guards against a request that has arrived and is not read because its host was held up beyond the limit.
func TestRequestThatArrivedBeforeTheCloseIsRead(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	times := func() front.HeadTimes { return front.HeadTimes{Idle: time.Minute, Head: time.Minute} }
	go func() { _ = front.NewHeads(budget.New(1<<20), times).Serve(server, lateListener{listener}) }()
	defer server.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against responses that tell a time of a connection which does not stay open, or that tell none of one which does.
func TestKeepAliveIsToldIfTheConnectionStaysOpen(t *testing.T) {
	handle := func(writer http.ResponseWriter, request *http.Request) {
		// As a server might have sent it.
		writer.Header().Set("Keep-Alive", "timeout=99")
		switch request.URL.Path {
		case "/draining":
			writer.Header().Set("Connection", "close")
		case "/unframed":
			writer.Header().Set("Transfer-Encoding", "identity")
		case "/length":
			writer.Header().Set("Content-Length", "4")
		case "/unread":
			_, _ = io.WriteString(writer, "part")
			return
		case "/empty":
			return
		case "/flush":
			_ = http.NewResponseController(writer).Flush()
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(writer, "part")
	}
	long := "Content-Length: 600000\r\n\r\n" + strings.Repeat("x", 600_000)
	for name, play := range map[string]struct {
		request string
		limit   time.Duration
		told    string
	}{
		"1.1":                    {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second, "timeout=12"},
		"no write":               {"GET /empty HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second, "timeout=12"},
		"flush before write":     {"GET /flush HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second, "timeout=12"},
		"body":                   {plainRequest, 15 * time.Second, "timeout=12"},
		"default":                {plainRequest, time.Minute, "timeout=57"},
		"fractions":              {plainRequest, 7500 * time.Millisecond, "timeout=4"},
		"below twice the margin": {plainRequest, 5 * time.Second, "timeout=2"},
		"smallest":               {plainRequest, 2 * time.Second, "timeout=1"},
		"below the smallest":     {plainRequest, 1999 * time.Millisecond, ""},
		"caller closes":          {"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 15 * time.Second, ""},
		"draining":               {"GET /draining HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second, ""},
		"unframed":               {"GET /unframed HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second, ""},
		"unread short body":      {"POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", 15 * time.Second, "timeout=12"},
		"unread long body":       {"POST /unread HTTP/1.1\r\nHost: h\r\n" + long, 15 * time.Second, ""},
		"read long body":         {"POST /x HTTP/1.1\r\nHost: h\r\n" + long, 15 * time.Second, "timeout=12"},
		"unread expectation":     {"POST /unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", 15 * time.Second, ""},
		"1.0":                    {"GET /length HTTP/1.0\r\n\r\n", 15 * time.Second, ""},
		"1.0 keep-alive":         {"GET /length HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 15 * time.Second, "timeout=12"},
		"1.0 of unknown length":  {"GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 15 * time.Second, ""},
		"1.0 without a length":   {"GET /flush HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 15 * time.Second, ""},
		"malformed":              {"GET /x HTTP/1.1\r\n\r\n", 15 * time.Second, ""},
		"options of the server":  {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second, "timeout=12"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := serveIdle(t, idleLimit(play.limit), handle).dial()
				go func() { _, _ = io.WriteString(conn, play.request) }()
				method, _, _ := strings.Cut(play.request, " ")
				response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.Equal(t, play.told, response.Header.Get("Keep-Alive"))
				require.Equal(t, play.told == "", response.Close, "a connection of which nothing is told is closed")
				_ = conn.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against an idle connection that is closed in the time told, or kept beyond its limit.
func TestToldConnectionIsClosedAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &idleCaller{dial: serveIdle(t, idleLimit(15*time.Second), readBody).dial}
		_, err := caller.send(plainRequest)
		require.NoError(t, err)
		began := time.Now()
		_, err = caller.conn.Read(make([]byte, 1))
		require.True(t, errors.Is(err, io.EOF))
		require.Equal(t, 15*time.Second, time.Since(began))
		_ = caller.conn.Close()
	})
}

// Guards against idle connections that keep the places of new callers, and requests that are lost when they make room.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 2
		listener := serveLimited(t, idleLimit(15*time.Second), front.NewConnections(limit), readBody)
		dial := func() *idleCaller { return &idleCaller{dial: listener.dial} }
		var callers []*idleCaller
		for range limit {
			callers = append(callers, dial())
			response, err := callers[len(callers)-1].send(plainRequest)
			require.NoError(t, err)
			require.Equal(t, 12*time.Second, toldTime(response.Header))
			time.Sleep(time.Second)
		}
		beyond := dial()
		response, err := beyond.send(plainRequest)
		require.NoError(t, err)
		require.True(t, response.Close, "no connection beyond the limit stays open")
		synctest.Wait()
		fresh := []net.Conn{listener.dial()}
		time.Sleep(time.Second)
		require.False(t, callers[0].isClosed(), "connections have room up to twice the limit")
		fresh = append(fresh, listener.dial())
		synctest.Wait()
		_, err = callers[0].send(plainRequest)
		require.NoError(t, err, "a request that is on its way is read")
		require.Nil(t, callers[0].conn)
		synctest.Wait()
		fresh = append(fresh, listener.dial())
		time.Sleep(time.Second)
		require.True(t, callers[1].isClosed(), "the one that has been idle for the longest time")
		for _, conn := range fresh {
			require.False(t, (&idleCaller{conn: conn, reader: bufio.NewReader(conn)}).isClosed())
			_ = conn.Close()
		}
		callers[1].close()
	})
}

// Guards against new connections that make room before their callers have sent a request.
func TestNewConnectionsMakeNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := serveLimited(t, idleLimit(15*time.Second), front.NewConnections(1), readBody)
		var conns []net.Conn
		for range 10 {
			conns = append(conns, listener.dialFar())
		}
		time.Sleep(300 * time.Millisecond)
		for _, conn := range conns {
			caller := &idleCaller{dial: func() net.Conn { return conn }}
			_, err := caller.send(plainRequest)
			require.NoError(t, err)
			caller.close()
		}
		time.Sleep(time.Minute)
	})
}

// isClosed reports whether the end of the connection has arrived.
func (caller *idleCaller) isClosed() bool {
	_ = caller.conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := caller.reader.Peek(1)
	_ = caller.conn.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
