package pipe

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"primrosegw/core/fault"
)

// Conn is a connection to a backend server. While it is idle, a goroutine waits
// for its end or for bytes that belong to no request.
type Conn struct {
	// Fresh: no request has been sent on the connection yet.
	Fresh bool

	raw    net.Conn
	reader *bufio.Reader
	pool   *Pool
	key    string
	until  time.Time
	keep   time.Duration

	// wake tells the user of the connection that there is something to read,
	// resume tells the watcher that the answer has been read.
	wake   chan struct{}
	resume chan struct{}

	mutex   sync.Mutex
	busy    bool
	writing bool
	// early: bytes came while the request was being written.
	early  bool
	closed bool
}

// watch waits for bytes. With a request under way they are its answer. Without
// one they belong to no request, and the connection is closed.
func (conn *Conn) watch() {
	defer conn.pool.release(conn.key)
	defer conn.raw.Close()
	for {
		_, err := conn.reader.Peek(1)
		conn.mutex.Lock()
		if !conn.busy {
			conn.closed = true
			conn.mutex.Unlock()
			return
		}
		if conn.writing && err == nil {
			// The server answers before it has the whole request: what is left
			// is not sent, and the connection is not used again.
			conn.early = true
			conn.raw.SetWriteDeadline(time.Now())
		}
		conn.mutex.Unlock()
		conn.wake <- struct{}{}
		<-conn.resume
		if conn.isClosed() {
			return
		}
	}
}

func (conn *Conn) isClosed() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.closed
}

// claim marks an idle connection as in use, and reports false when it has ended
// or received bytes in the meantime.
func (conn *Conn) claim() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closed || conn.busy {
		return false
	}
	conn.busy = true
	conn.Fresh = false
	return true
}

// Close ends the connection at once. Any request on it is cancelled.
func (conn *Conn) Close() {
	conn.mutex.Lock()
	conn.closed = true
	conn.mutex.Unlock()
	conn.raw.Close()
}

// Message is a request as it is sent.
type Message struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes a request. Whole is false when the server answered before it had
// all of it. It fails with Unsent or Lost.
func (conn *Conn) Send(message Message, deadline time.Time) (whole bool, err error) {
	data := message.encode()
	conn.mutex.Lock()
	conn.writing, conn.early = true, false
	conn.raw.SetWriteDeadline(deadline)
	conn.mutex.Unlock()
	count, err := conn.raw.Write(data)
	conn.mutex.Lock()
	conn.writing = false
	early := conn.early
	conn.mutex.Unlock()
	if err == nil {
		return true, nil
	}
	if count == 0 {
		return false, fault.Wrap("pipe.send", Unsent, err)
	}
	if early {
		return false, nil
	}
	return false, fault.Wrap("pipe.send", Lost, err)
}

// encode writes a request in the wire format.
func (message Message) encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(message.Body))
	buffer.WriteString(message.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(message.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(message.Host)
	buffer.WriteString("\r\n")
	// Errors are those of the buffer, which has none.
	_ = message.Header.Write(&buffer)
	if len(message.Body) > 0 || message.Method != http.MethodGet && message.Method != http.MethodHead {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(message.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(message.Body)
	return buffer.Bytes()
}

// Answer is the head of a server's answer; its body is read from the connection.
type Answer struct {
	*http.Response
	// KeepAlive: the server does not close the connection after the answer.
	KeepAlive bool
}

// Await waits for the head of the answer until the deadline. It fails with Lost
// or Malformed.
func (conn *Conn) Await(method string, deadline time.Time) (Answer, error) {
	conn.raw.SetReadDeadline(deadline)
	<-conn.wake
	return conn.Next(method)
}

// Next reads the head of a further answer on the connection.
func (conn *Conn) Next(method string) (Answer, error) {
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return Answer{}, readError(err)
		}
		if response.StatusCode >= 200 {
			return Answer{Response: response, KeepAlive: !response.Close}, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Answer{}, fault.New("pipe.next", Malformed, "the server switches protocols")
		}
	}
}

// SetReadDeadline bounds the time for reading the answer's body.
func (conn *Conn) SetReadDeadline(deadline time.Time) { conn.raw.SetReadDeadline(deadline) }

// readError tells a connection that ended from bytes that are no answer. After
// either the request may have run.
func readError(err error) error {
	var failed net.Error
	if errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.Wrap("pipe.next", Lost, err)
	}
	return fault.Wrap("pipe.next", Malformed, err)
}

// Reuse gives the connection back after a whole answer. The header tells how
// long the server keeps it.
func (conn *Conn) Reuse(header http.Header) {
	conn.keep = keepTime(header)
	if conn.keep <= 0 || conn.reader.Buffered() > 0 {
		conn.Discard()
		return
	}
	conn.raw.SetReadDeadline(time.Time{})
	conn.mutex.Lock()
	conn.busy = false
	conn.mutex.Unlock()
	conn.resume <- struct{}{}
	conn.pool.put(conn)
}

// Keep gives back a connection on which no request was sent. One that was idle
// before is kept no longer than it would have been.
func (conn *Conn) Keep() {
	if !conn.Fresh {
		conn.keep = time.Until(conn.until)
	}
	conn.mutex.Lock()
	conn.busy = false
	conn.mutex.Unlock()
	conn.pool.put(conn)
}

// Discard closes the connection after its request, whatever became of it.
func (conn *Conn) Discard() {
	conn.Close()
	select {
	case conn.resume <- struct{}{}:
	default:
	}
	select {
	case <-conn.wake:
	default:
	}
}

// keepTime returns how long an idle connection may be used again.
func keepTime(header http.Header) time.Duration {
	for _, value := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, number, found := strings.Cut(strings.TrimSpace(value), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(number)
		if err != nil {
			continue
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return DefaultIdleTimeout
}
