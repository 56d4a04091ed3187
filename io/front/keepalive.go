package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxIdleMargin is the time between the one that callers are told and the one after which an idle
	// connection is closed. It covers the delays of the network with a few retransmissions, and a host that
	// was paused for a second or two. idleMarginShare is the largest share of the limit for it.
	maxIdleMargin   = 3 * time.Second
	idleMarginShare = 0.5
	// keepAliveUnit is the unit of the header Keep-Alive. A connection of which less than one can be told is
	// closed after its response.
	keepAliveUnit = time.Second
	// maxUnreadBody is how much of a body that its handler has left unread is read to keep the connection.
	maxUnreadBody = 256 << 10
)

// toldIdle returns for how long callers are told that an idle connection is kept, given its limit; 0: it is
// not kept.
func toldIdle(limit time.Duration) time.Duration {
	margin := min(maxIdleMargin, time.Duration(float64(limit)*idleMarginShare))
	return (limit - margin).Truncate(keepAliveUnit)
}

type headConnKey struct{}

// connContext makes a connection known to its requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ConnContext(ctx, conn), headConnKey{}, conn)
}

// tellIdle returns a handler whose responses tell their callers how long the connection is kept.
func (heads *Heads) tellIdle(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(headConnKey{}).(*headConn)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		teller := &idleTeller{ResponseWriter: writer, request: request, conn: conn, heads: heads}
		if request.Method == http.MethodOptions && request.RequestURI == "*" {
			// net/http answers this request itself otherwise.
			writer.Header().Set("Content-Length", "0")
		} else {
			handler.ServeHTTP(teller, request)
		}
		teller.tell()
	})
}

// idleTeller adds the header Keep-Alive to a response whose connection stays open, or closes the
// connection if nothing can be told.
type idleTeller struct {
	http.ResponseWriter
	request *http.Request
	conn    *headConn
	heads   *Heads
	isTold  bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (teller *idleTeller) Unwrap() http.ResponseWriter { return teller.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (teller *idleTeller) WriteHeader(status int) {
	if status >= http.StatusOK {
		teller.tell()
	}
	teller.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (teller *idleTeller) Write(part []byte) (int, error) {
	teller.tell()
	return teller.ResponseWriter.Write(part)
}

// Flush implements http.Flusher.
func (teller *idleTeller) Flush() {
	// An error shows at the next write.
	_ = teller.FlushError()
}

// FlushError flushes like http.ResponseController.
func (teller *idleTeller) FlushError() error {
	teller.tell()
	return http.NewResponseController(teller.ResponseWriter).Flush()
}

// tell completes the head of the response before it is written.
func (teller *idleTeller) tell() {
	if teller.isTold {
		return
	}
	teller.isTold = true
	header := teller.Header()
	header.Del("Keep-Alive")
	if teller.request.Close || header.Get("Connection") != "" || header.Get("Transfer-Encoding") != "" {
		return
	}
	limit := teller.conn.times().Idle
	told := toldIdle(limit)
	if told < keepAliveUnit || teller.conn.place.connections.isFull() || teller.heads.isStopping.Load() || !teller.hasEnd() || !teller.isBodyRead() {
		header.Set("Connection", "close")
		return
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(told/keepAliveUnit)))
	teller.conn.promised = limit
}

// hasEnd reports whether the end of the response is certain to show without that of its connection. HTTP/1.0
// has no chunks.
func (teller *idleTeller) hasEnd() bool {
	return teller.request.ProtoAtLeast(1, 1) || teller.Header().Get("Content-Length") != "" || teller.request.Method == http.MethodHead
}

// isBodyRead reads a short rest of the request's body, as net/http would, and reports whether it has ended. A
// body that waits for the status 100 is not read, as that might ask for it.
func (teller *idleTeller) isBodyRead() bool {
	if teller.request.ContentLength == 0 {
		return true
	}
	if teller.request.Header.Get("Expect") != "" {
		return false
	}
	_, err := io.CopyN(io.Discard, teller.request.Body, maxUnreadBody+1)
	return err == io.EOF
}
