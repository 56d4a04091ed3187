// Package keep tells callers on HTTP/1 for how long their connections are kept without a request, so that none is
// closed while a request is on its way.
package keep

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxMargin is the time between the one that callers are told and the one after which an idle connection is
	// closed. It covers the delays of the network with a few retransmissions, and a host that was paused for a
	// second or two. marginShare is the largest share of the limit for it.
	maxMargin   = 3 * time.Second
	marginShare = 0.5
	// unit is the unit of the header Keep-Alive. A connection of which less than one can be told is closed after
	// its response.
	unit = time.Second
	// maxUnreadBody is how much of a body that its handler has left unread is read to keep the connection.
	maxUnreadBody = 256 << 10
)

// Options say for how long connections are kept.
type Options struct {
	// Limit returns after which time the connection of a request is closed if it is idle; 0: after the response.
	Limit func(request *http.Request) time.Duration
	// OnTold is called with the limit from which a response tells a time; nil: it is not wanted.
	OnTold func(request *http.Request, limit time.Duration)
}

// Handler returns a handler whose responses tell callers how long the connection is kept.
func Handler(handler http.Handler, options Options) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ProtoMajor != 1 {
			handler.ServeHTTP(writer, request)
			return
		}
		body := &countedBody{ReadCloser: request.Body}
		teller := &teller{ResponseWriter: writer, request: request, options: options, body: body}
		// net/http looks at the type of the body of its own request.
		counted := *request
		counted.Body = body
		handler.ServeHTTP(teller, &counted)
		teller.tell()
	})
}

// countedBody counts the bytes of a request's body that its handler reads.
type countedBody struct {
	io.ReadCloser
	read atomic.Int64
}

// Read implements io.Reader.
func (body *countedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	body.read.Add(int64(count))
	return count, err
}

// told returns for how long callers are told that an idle connection is kept, given its limit; 0: it is not kept.
func told(limit time.Duration) time.Duration {
	margin := min(maxMargin, time.Duration(float64(limit)*marginShare))
	return (limit - margin).Truncate(unit)
}

// teller adds the header Keep-Alive to a response whose connection stays open, or closes the connection if
// nothing can be told.
type teller struct {
	http.ResponseWriter
	request *http.Request
	options Options
	body    *countedBody
	isTold  bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (teller *teller) Unwrap() http.ResponseWriter { return teller.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (teller *teller) WriteHeader(status int) {
	if status >= http.StatusOK {
		teller.tell()
	}
	teller.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (teller *teller) Write(part []byte) (int, error) {
	teller.tell()
	return teller.ResponseWriter.Write(part)
}

// Flush implements http.Flusher.
func (teller *teller) Flush() {
	// An error shows at the next write.
	_ = teller.FlushError()
}

// FlushError flushes like http.ResponseController.
func (teller *teller) FlushError() error {
	teller.tell()
	return http.NewResponseController(teller.ResponseWriter).Flush()
}

// tell completes the head of the response before it is written.
func (teller *teller) tell() {
	if teller.isTold {
		return
	}
	teller.isTold = true
	header := teller.Header()
	header.Del("Keep-Alive")
	if teller.request.Close || header.Get("Connection") != "" || header.Get("Transfer-Encoding") != "" {
		return
	}
	limit := teller.options.Limit(teller.request)
	kept := told(limit)
	if kept < unit || !teller.hasEnd() || !teller.isBodyRead() {
		header.Set("Connection", "close")
		return
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(kept/unit)))
	if teller.options.OnTold != nil {
		teller.options.OnTold(teller.request, limit)
	}
}

// hasEnd reports whether the end of the response is certain to show without that of its connection. HTTP/1.0
// has no chunks.
func (teller *teller) hasEnd() bool {
	return teller.request.ProtoAtLeast(1, 1) || teller.Header().Get("Content-Length") != "" || teller.request.Method == http.MethodHead
}

// isBodyRead reads a short rest of the request's body, as net/http would, and reports whether it has ended. A
// body that waits for the status 100 is not read, as that might ask for it.
func (teller *teller) isBodyRead() bool {
	if teller.request.ContentLength == 0 {
		return true
	}
	if teller.request.Header.Get("Expect") != "" {
		return false
	}
	if teller.request.ContentLength-teller.body.read.Load() > maxUnreadBody {
		// The caller may send nothing before it has the response.
		return false
	}
	_, err := io.CopyN(io.Discard, teller.request.Body, maxUnreadBody+1)
	return err == io.EOF
}
