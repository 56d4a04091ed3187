package pipe

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"primrosegw/core/fault"
)

// Conn is a connection to a backend server. A goroutine watches it while it is
// idle, to detect that the server closed it or sent bytes that belong to no
// request.
type Conn struct {
	// Dialed reports whether the connection was newly opened and not taken from the
	// pool.
	Dialed bool
	// OpenedAt is when the opening of the connection began.
	OpenedAt time.Time
	// Process says what is known of the process at the other end, beside the key of the connection;
	// empty: nothing. The holder of the connection sets it. It stays true, because a connection ends
	// with its process.
	Process string
	// Via is the name of the host through which the connection goes; empty: it is direct.
	Via string

	raw          net.Conn
	limiter      *limiter
	reader       *bufio.Reader
	pool         *Pool
	key          string
	idleDeadline time.Time
	idleTimeout  time.Duration
	// answered reports whether a complete response has come on the connection.
	answered bool

	// readable tells AwaitResponse that there is something to read. rearm tells
	// watch that the response has been read.
	readable chan struct{}
	rearm    chan struct{}
	// interimErr is why the interim responses before the next response are no valid ones. It is set
	// before readable is told.
	interimErr error
	// writeErr is why the rest of a request could not be written after the response had begun, unless
	// that was the reason itself.
	writeErr error

	mutex   sync.Mutex
	inUse   bool
	writing bool
	// earlyResponse: bytes that are no interim response arrived while the request was being written.
	earlyResponse bool
	closed        bool
}

// watch waits until the connection is readable. If it is in use, the bytes are
// the response to its request. Otherwise the server has closed the connection or
// sent bytes that belong to no request, and the connection is closed.
func (conn *Conn) watch() {
	defer conn.pool.releaseSlot(conn.key)
	defer conn.raw.Close()
	for {
		_, err := conn.reader.Peek(1)
		if err == nil && conn.isWriting() {
			conn.interimErr = conn.skipInterim()
		}
		conn.mutex.Lock()
		if !conn.inUse {
			closedHere := conn.closed || errors.Is(err, net.ErrClosed)
			conn.closed = true
			conn.mutex.Unlock()
			if !closedHere && conn.Via == "" && errors.Is(err, syscall.ECONNRESET) {
				conn.pool.options.OnResetIdle(conn.key)
			}
			if !closedHere {
				conn.pool.options.OnClosedIdle(conn.key)
			}
			return
		}
		if conn.writing && err == nil {
			// The server responds before it has received the whole request: the
			// deadline stops the write, and the connection is not reused.
			conn.earlyResponse = true
			conn.raw.SetWriteDeadline(time.Now())
		}
		// There is room, as the holder has taken what it was told before. Under the mutex, so that ReleaseUnused sees it.
		conn.readable <- struct{}{}
		conn.mutex.Unlock()
		<-conn.rearm
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

// claim marks an idle connection as in use. It returns false when the connection
// was closed or became readable in the meantime.
func (conn *Conn) claim() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closed || conn.inUse {
		return false
	}
	conn.inUse = true
	conn.Dialed = false
	return true
}

// Close closes the connection at once, which cancels the request on it.
func (conn *Conn) Close() {
	conn.mutex.Lock()
	conn.closed = true
	conn.mutex.Unlock()
	conn.raw.Close()
}

// AwaitQuiet waits until a time or the end of the context. It returns false if the server closes
// the connection, or sends something, before.
func (conn *Conn) AwaitQuiet(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return true
	case <-conn.readable:
		conn.readable <- struct{}{}
		return false
	}
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaySend is asked right before the first byte is written; nil: it may be sent. The process may have been
	// paused since its holder decided to send it.
	MaySend func() bool
}

// maxCopiedBytes is the size up to which a body is copied, to be sent with one plain write.
const maxCopiedBytes = 4 << 10

// errForbidden is why a request is not sent that MaySend forbids.
var errForbidden = errors.New("the request may no longer be sent")

// Send writes a request. Complete is false when the server responded before it
// had received the whole request. Send fails with Unsent, also if MaySend forbids it, or Lost.
func (conn *Conn) Send(request Request, deadline time.Time) (complete bool, err error) {
	head, body := request.encode()
	conn.mutex.Lock()
	conn.writing, conn.earlyResponse = true, false
	conn.raw.SetWriteDeadline(deadline)
	conn.mutex.Unlock()
	var count int64
	if request.MaySend == nil || request.MaySend() {
		count, err = writeBoth(conn.raw, head, body)
	} else {
		err = errForbidden
	}
	conn.mutex.Lock()
	conn.writing = false
	earlyResponse := conn.earlyResponse
	conn.mutex.Unlock()
	if err == nil {
		return true, nil
	}
	if count == 0 {
		return false, fault.Wrap("pipe.send", Unsent, err)
	}
	if earlyResponse {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			conn.writeErr = err
		}
		return false, nil
	}
	return false, fault.Wrap("pipe.send", Lost, err)
}

// writeBoth writes two buffers, of which the second may be empty, and returns the number of bytes.
func writeBoth(conn net.Conn, first, second []byte) (int64, error) {
	if len(second) == 0 {
		count, err := conn.Write(first)
		return int64(count), err
	}
	return (&net.Buffers{first, second}).WriteTo(conn)
}

// encode returns the request in the format of HTTP/1.1. A long body is returned apart, uncopied.
func (request Request) encode() (head, body []byte) {
	var buffer bytes.Buffer
	buffer.Grow(512 + min(len(request.Body), maxCopiedBytes))
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	// Writing to a bytes.Buffer never returns an error.
	_ = request.Header.Write(&buffer)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(request.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	if len(request.Body) > maxCopiedBytes {
		return buffer.Bytes(), request.Body
	}
	buffer.Write(request.Body)
	return buffer.Bytes(), nil
}

// Response is a response whose headers have been read. Reading its body reads from
// the connection.
type Response struct {
	*http.Response
	// KeepAlive reports whether the server leaves the connection open after the
	// response.
	KeepAlive bool
}

// AwaitResponse waits until the deadline for the headers of the response. It fails
// with Lost or Malformed.
func (conn *Conn) AwaitResponse(method string, deadline time.Time) (Response, error) {
	conn.raw.SetReadDeadline(deadline)
	<-conn.readable
	return conn.NextResponse(method)
}

// NextResponse reads the headers of the next response on the connection and skips
// interim (1xx) ones. It fails with Lost, or with Malformed, also if a status is invalid or if
// the headers of all these responses are longer than maxHeaderBytes.
func (conn *Conn) NextResponse(method string) (Response, error) {
	if conn.interimErr != nil {
		return Response{}, conn.interimErr
	}
	conn.limiter.limit(maxHeaderBytes)
	defer conn.limiter.lift()
	for {
		response, err := conn.readHead(method)
		if err != nil {
			return Response{}, conn.headError(err)
		}
		if !isStatus(response.StatusCode) {
			return Response{}, fault.New("pipe.next", Malformed, "invalid status "+strconv.Itoa(response.StatusCode))
		}
		if response.StatusCode >= http.StatusOK {
			conn.guardEnd(response)
			return Response{Response: response, KeepAlive: !response.Close}, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Response{}, fault.New("pipe.next", Malformed, "unexpected status 101 Switching Protocols")
		}
	}
}

// guardEnd makes the end of a response without a length or chunks an error if the request could not be
// written to its end. The kernel reports a reset once: if the write has got it, a read finds the bytes
// that had arrived and then an orderly end.
func (conn *Conn) guardEnd(response *http.Response) {
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if conn.writeErr != nil && !isFramed && response.Body != http.NoBody {
		response.Body = &brokenBody{response.Body, conn.writeErr}
	}
}

// brokenBody is a body whose end is the end of a broken connection.
type brokenBody struct {
	io.ReadCloser
	err error
}

// Read reads the body. In place of its end it returns a Lost error.
func (body *brokenBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF {
		err = fault.Wrap("pipe.read", Lost, body.err)
	}
	return count, err
}

const (
	minStatus = 100
	maxStatus = 599
)

// isStatus reports whether a number is a status of HTTP (RFC 9110, section 15). net/http accepts all
// numbers of three digits.
func isStatus(number int) bool { return number >= minStatus && number <= maxStatus }

// TakeHeaders makes the following responses call take with the number of bytes of their headers
// before they are parsed; an error of it ends the response. The first readBufferBytes may be in the
// buffer of the connection and are left out. Nil stops it.
func (conn *Conn) TakeHeaders(take func(bytes int) error) { conn.limiter.take = take }

// SetReadDeadline sets the deadline for reading the response's body.
func (conn *Conn) SetReadDeadline(deadline time.Time) { conn.raw.SetReadDeadline(deadline) }

// headError is readError for a head. That of a malformed head which was not read to its end, as the
// connection was closed in order, is also an io.ErrUnexpectedEOF.
func (conn *Conn) headError(err error) error {
	known := readError(err)
	if fault.Is(known, Malformed) && conn.limiter.ended {
		return fault.Wrap("pipe.next", Malformed, errors.Join(err, io.ErrUnexpectedEOF))
	}
	return known
}

// readError returns Lost when the connection failed or timed out, and Malformed
// when the bytes received are not a valid HTTP response. In both cases the request may
// have run.
func readError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.Wrap("pipe.next", Lost, err)
	}
	return fault.Wrap("pipe.next", Malformed, err)
}

// Release returns the connection to the pool after a complete response. The
// response's Keep-Alive header says how long the server keeps the connection open.
func (conn *Conn) Release(header http.Header) {
	conn.answered = true
	conn.idleTimeout = keepAliveTimeout(header)
	if conn.idleTimeout <= 0 || conn.reader.Buffered() > 0 {
		conn.Discard()
		return
	}
	conn.raw.SetReadDeadline(time.Time{})
	conn.mutex.Lock()
	conn.inUse = false
	conn.mutex.Unlock()
	conn.rearm <- struct{}{}
	conn.pool.putIdle(conn)
}

// ReleaseUnused returns a connection to the pool on which no request was sent. If
// it came from the pool, its idle deadline stays the same. It is closed if the server has closed it or sent something.
func (conn *Conn) ReleaseUnused() {
	if !conn.Dialed {
		conn.idleTimeout = time.Until(conn.idleDeadline)
	}
	conn.mutex.Lock()
	conn.inUse = len(conn.readable) > 0
	isReadable := conn.inUse
	conn.mutex.Unlock()
	if isReadable {
		conn.Discard()
		return
	}
	conn.pool.putIdle(conn)
}

// Reuse makes the connection ready for another request of its holder, after a complete response
// with the given headers. It returns false if the server does not keep it open, or has sent more.
func (conn *Conn) Reuse(header http.Header) bool {
	conn.idleTimeout = keepAliveTimeout(header)
	if conn.idleTimeout <= 0 || conn.reader.Buffered() > 0 {
		return false
	}
	conn.answered = true
	conn.raw.SetReadDeadline(time.Time{})
	conn.rearm <- struct{}{}
	return true
}

// Discard closes the connection whatever its state and unblocks its watch
// goroutine.
func (conn *Conn) Discard() {
	conn.Close()
	select {
	case conn.rearm <- struct{}{}:
	default:
	}
	select {
	case <-conn.readable:
	default:
	}
}

// keepAliveTimeout returns how long an idle connection may be reused, from the
// timeout parameter of the Keep-Alive header.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, value := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, number, found := strings.Cut(strings.TrimSpace(value), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(number)
		if err != nil {
			continue
		}
		return time.Duration(seconds)*time.Second - idleCloseMargin
	}
	return DefaultIdleTimeout
}
