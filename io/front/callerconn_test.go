package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/front"
)

// watchedHost is a harness behind Heads that watches the connections of callers, as that of a gateway.
type watchedHost struct {
	*harness
	server  *http.Server
	address string
}

// watch serves the harness with the given limits.
func (harness *harness) watch(times front.HeadTimes) watchedHost {
	harness.t.Helper()
	listener, err := front.Listen(harness.t.Context(), "127.0.0.1:0")
	require.NoError(harness.t, err)
	server := &http.Server{Handler: harness.handler, ErrorLog: stdlog.New(io.Discard, "", 0)}
	harness.t.Cleanup(func() { _ = server.Close() })
	go func() {
		_ = front.NewHeads(harness.budget, func() front.HeadTimes { return times }).Watch(harness.handler).Serve(server, listener)
	}()
	return watchedHost{harness, server, listener.Addr().String()}
}

// send opens a connection and writes to it.
func (host watchedHost) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", host.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// readStatus reads a response with its body and returns its status.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// requestText returns a request with a body and the given headers.
func requestText(path, body string, headers ...string) string {
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: %d\r\n", path, len(body))
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "\r\n" + body
}

// requestEnd is one way in which a request or its connection ends.
type requestEnd struct {
	// play makes it happen. Arrived receives a value when the server of the harness has the request, and
	// nothing is answered before the end of the test unless answer is set.
	play play
	// answer is the response of the server.
	answer responder
	times  front.HeadTimes
	// outcome is that of the request; empty: none was read. By says what has read it.
	outcome, by string
	// closed is why the host has closed the connection, empty if it did not. Line is the event on it.
	closed, line string
	// whole: the line says that the request was read whole. Bytes are the bytes that it names, -1: more than 0.
	whole bool
	bytes int
}

const partOfHead = "POST /once/ HTTP/1.1\r\nHost: h.exa"

// play is the part of a caller in a requestEnd.
type play = func(t *testing.T, host watchedHost, arrived <-chan struct{})

// sendAndRead sends a request and expects a status.
func sendAndRead(text string, status int) play {
	return func(t *testing.T, host watchedHost, _ <-chan struct{}) {
		require.Equal(t, status, readStatus(t, host.send(t, text)))
	}
}

// sendAndWait sends a request and waits for the end of the connection.
func sendAndWait(text string) play {
	return func(t *testing.T, host watchedHost, _ <-chan struct{}) {
		_, _ = io.ReadAll(host.send(t, text))
	}
}

// longTimes and shortTimes are limits that no test reaches, and that pass at once.
func longTimes() front.HeadTimes {
	return front.HeadTimes{Idle: time.Minute, Head: time.Minute}
}

func shortTimes() front.HeadTimes {
	return front.HeadTimes{Idle: 50 * time.Millisecond, Head: 50 * time.Millisecond}
}

// beginChunked begins a stream in chunks.
func beginChunked(request *http.Request, conn net.Conn) {
	writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, eventStream, "Transfer-Encoding: chunked"}, chunk(events(1, 3)))
}

// streamWithoutEnd sends a stream for as long as it is read.
func streamWithoutEnd(request *http.Request, conn net.Conn) {
	beginChunked(request, conn)
	for {
		if _, err := io.WriteString(conn, chunk(strings.Repeat("data: x\n\n", 1<<10))); err != nil {
			return
		}
	}
}

// answeredEnds are the ways in which a request ends with a response of the handler.
func answeredEnds() map[string]requestEnd {
	whole, limits := respondWith(200, "whole", signed), longTimes()
	return map[string]requestEnd{
		"served":         {play: sendAndRead(requestText("/once/", "x"), 200), answer: whole, times: limits, outcome: "200", by: "handler"},
		"no route":       {play: sendAndRead(requestText("/none/", "x"), 404), times: limits, outcome: "no_route", by: "handler"},
		"unknown key":    {play: sendAndRead(strings.Replace(requestText("/once/", "x"), "X-Key: key", "X-Key: x", 1), 401), times: limits, outcome: "unknown_key", by: "handler"},
		"body too long":  {play: sendAndRead(requestText("/once/", strings.Repeat("x", 2<<20)), 413), times: limits, outcome: "body_too_long", by: "handler"},
		"error response": {play: sendAndRead(requestText("/once/", "x"), 500), answer: respondWith(500, "", signed), times: limits, outcome: "500", by: "handler"},
		"deadline":       {play: sendAndRead(requestText("/once/", "x", "X-Timeout-Ms: 50"), 504), times: limits, outcome: "deadline", by: "handler"},
		"part of a body": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			conn := host.send(t, requestText("/once/", "xxx", "X-Timeout-Ms: 500")[:len(requestText("/once/", "xxx", "X-Timeout-Ms: 500"))-1])
			require.Equal(t, 400, readStatus(t, conn))
		}, times: limits, outcome: "body_unread", by: "handler"},
	}
}

// cutEnds are the ways in which the host or the caller closes the connection of a request.
func cutEnds() map[string]requestEnd {
	limits := longTimes()
	return map[string]requestEnd{
		"broken": {play: sendAndWait(requestText("/stream/", "x")), answer: func(request *http.Request, conn net.Conn) {
			beginChunked(request, conn)
			_ = conn.Close()
		}, times: limits, outcome: "broken", by: "handler", closed: "request_broken", line: "request_cut", whole: true},
		"panic": {play: sendAndWait(requestText("/once/", "x", "X-Panic: 1")), times: limits, outcome: "request_panic", by: "handler", closed: "request_panic", line: "request_cut", whole: true},
		"caller left": {play: func(t *testing.T, host watchedHost, arrived <-chan struct{}) {
			conn := host.send(t, requestText("/once/", "x"))
			<-arrived
			_ = conn.Close()
		}, times: limits, outcome: "caller_left", by: "handler"},
		"caller left within a stream": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			conn := host.send(t, requestText("/stream/", "x")).(*net.TCPConn)
			_, err := io.ReadFull(conn, make([]byte, 1000))
			require.NoError(t, err)
			resetConnection(nil, conn)
		}, answer: streamWithoutEnd, times: limits, outcome: "caller_left", by: "handler"},
		"stop": {play: func(t *testing.T, host watchedHost, arrived <-chan struct{}) {
			host.send(t, requestText("/once/", "x"))
			<-arrived
			_ = host.server.Close()
		}, times: limits, outcome: "request_stop", by: "handler", closed: "request_stop", line: "request_cut", whole: true},
		"stop within a body": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			host.send(t, strings.TrimSuffix(requestText("/once/", "xxx"), "x"))
			require.Eventually(t, func() bool { return host.handler.InFlight() > 0 }, 10*time.Second, time.Millisecond)
			_ = host.server.Close()
		}, times: limits, outcome: "body_unread", by: "handler", closed: "request_stop", line: "request_cut"},
		"slow caller": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			conn := host.send(t, requestText("/stream/", "x", "X-Timeout-Ms: 100"))
			require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
			require.Eventually(t, func() bool { return strings.Contains(host.log.String(), "request_cut") }, 9*time.Second, time.Millisecond)
		}, answer: streamWithoutEnd, times: limits, outcome: "request_write_deadline", by: "handler", closed: "request_write_deadline", line: "request_cut", whole: true},
		"next request on a connection that ends": {play: func(t *testing.T, host watchedHost, arrived <-chan struct{}) {
			host.handler.Drain(time.Now().Add(5 * time.Second))
			conn := host.send(t, requestText("/once/", "x", "X-Timeout-Ms: 300"))
			<-arrived
			_, err := io.WriteString(conn, partOfHead)
			require.NoError(t, err)
			require.Equal(t, 504, readStatus(t, conn))
		}, times: limits, outcome: "deadline", by: "handler", closed: "request_next", line: "request_cut", whole: true, bytes: -1},
	}
}

// headEnds are the ways in which a connection ends while a head is awaited or read.
func headEnds() map[string]requestEnd {
	whole, limits := respondWith(200, "whole", signed), longTimes()
	return map[string]requestEnd{
		"long head": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			other := host.budget.Open()
			require.NoError(t, other.Take(harnessBudget-1000))
			require.Equal(t, 503, readStatus(t, host.send(t, requestText("/once/", "x", "X-Long: "+strings.Repeat("x", 60_000)))))
			other.Release()
		}, times: limits, outcome: "head_memory", by: "head", closed: "head_memory", line: "head_cut", bytes: -1},
		"malformed head":      {play: sendAndRead("NONSENSE\r\n\r\n", 400), times: limits, outcome: "head_invalid", by: "head"},
		"transfer coding":     {play: sendAndRead("POST /once/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: x\r\n\r\n", 501), times: limits, outcome: "head_invalid", by: "head"},
		"unknown expectation": {play: sendAndRead(requestText("/once/", "", "Expect: nothing"), 417), times: limits, outcome: "head_invalid", by: "head"},
		"part of a head":      {play: sendAndWait(partOfHead), times: shortTimes(), closed: "head_deadline", line: "head_cut", bytes: len(partOfHead)},
		"nothing":             {play: sendAndWait(""), times: shortTimes(), closed: "idle_limit"},
		"nothing more": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			conn := host.send(t, requestText("/once/", "x"))
			require.Equal(t, 200, readStatus(t, conn))
			_, _ = io.ReadAll(conn)
		}, answer: whole, times: shortTimes(), outcome: "200", by: "handler", closed: "idle_limit"},
		"part of a head from a caller that leaves": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			require.NoError(t, host.send(t, partOfHead).(*net.TCPConn).CloseWrite())
			time.Sleep(100 * time.Millisecond)
		}, times: limits},
		"part of a head at the stop": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			conn := host.send(t, requestText("/once/", "x"))
			require.Equal(t, 200, readStatus(t, conn))
			_, err := io.WriteString(conn, partOfHead)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			_ = host.server.Shutdown(t.Context())
		}, answer: whole, times: limits, outcome: "200", by: "handler", closed: "head_stop", line: "head_cut", bytes: len(partOfHead)},
		"idle at the stop": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			require.Equal(t, 200, readStatus(t, host.send(t, requestText("/once/", "x"))))
			time.Sleep(100 * time.Millisecond)
			_ = host.server.Shutdown(t.Context())
		}, answer: whole, times: limits, outcome: "200", by: "handler", closed: "idle_stop"},
		"whole head during the stop": {play: func(t *testing.T, host watchedHost, _ <-chan struct{}) {
			conn := host.send(t, partOfHead)
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_ = host.server.Shutdown(ctx)
			_, err := io.WriteString(conn, "mple\r\n\r\n")
			require.NoError(t, err)
			_, _ = io.ReadAll(conn)
		}, times: limits, outcome: "request_dropped", by: "head", closed: "request_dropped", line: "request_cut", bytes: len(partOfHead) + 8},
	}
}

// requestEnds are all ways in which the host ends a request.
func requestEnds() map[string]requestEnd {
	all := answeredEnds()
	maps.Copy(all, cutEnds())
	maps.Copy(all, headEnds())
	return all
}

// Guards against requests that are read and have no outcome or two, and against connections that the host closes
// without a word on why.
func TestEachRequestHasOneOutcome(t *testing.T) {
	for name, end := range requestEnds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			arrived, ended := make(chan struct{}, 1), make(chan struct{})
			defer close(ended)
			harness.addServer("a", func(request *http.Request, conn net.Conn) {
				select {
				case arrived <- struct{}{}:
				default:
				}
				if end.answer == nil {
					<-ended
					return
				}
				end.answer(request, conn)
			})
			host := harness.watch(end.times)
			end.play(t, host, arrived)
			wantOutcomes, wantCounters := map[string]int{}, map[string]int{}
			if end.outcome != "" {
				wantOutcomes[end.outcome], wantCounters["requests_read "+end.by] = 1, 1
			}
			if end.closed != "" {
				wantCounters["caller_connections_closed "+end.closed] = 1
			}
			require.EventuallyWithT(t, func(t *assert.CollectT) {
				outcomes, counters := harness.meter.snapshot()
				assert.Equal(t, wantOutcomes, outcomes)
				assert.Equal(t, wantCounters, counters)
			}, 5*time.Second, 5*time.Millisecond, harness.log.String())
			end.requireLine(t, harness)
		})
	}
}

// requireLine checks the line on the closed connection.
func (end requestEnd) requireLine(t *testing.T, harness *harness) {
	t.Helper()
	if end.line == "" {
		require.NotContains(t, harness.log.String(), "request_cut")
		require.NotContains(t, harness.log.String(), "head_cut")
		return
	}
	hasLine := func() bool { return strings.Contains(harness.log.String(), end.line) }
	require.Eventually(t, hasLine, 5*time.Second, time.Millisecond, harness.log.String())
	for line := range strings.Lines(harness.log.String()) {
		if !strings.Contains(line, `"`+end.line+`"`) {
			continue
		}
		var row struct {
			Reason       string
			RequestID    string `json:"request_id"`
			IsWhole      bool   `json:"is_whole"`
			BytesRead    int    `json:"bytes_read"`
			TableVersion int    `json:"table_version"`
			TableAgeMs   *int   `json:"table_age_ms"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &row))
		require.Equal(t, end.closed, row.Reason)
		require.Equal(t, end.whole, row.IsWhole)
		require.Equal(t, 1, row.TableVersion)
		require.NotNil(t, row.TableAgeMs)
		if end.by == "handler" && end.line == "request_cut" {
			require.Equal(t, "id-1", row.RequestID)
		}
		if end.bytes < 0 {
			require.Positive(t, row.BytesRead)
			return
		}
		require.Equal(t, end.bytes, row.BytesRead, line)
	}
}
