package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"primrosegw/io/keep"
)

type headConnKey struct{}

// connContext makes a connection known to its requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ConnContext(ctx, conn), headConnKey{}, conn)
}

// connOf returns the connection of a request.
func connOf(request *http.Request) *headConn {
	return request.Context().Value(headConnKey{}).(*headConn)
}

// tellIdle returns a handler whose responses tell callers how long the connection is kept.
func (heads *Heads) tellIdle(handler http.Handler) http.Handler {
	return keep.Handler(answerOptions(handler), keep.Options{
		Limit: func(request *http.Request) time.Duration {
			conn := connOf(request)
			if heads.isStopping.Load() || conn.place.connections.isFull() {
				return 0
			}
			return conn.times().Idle
		},
		OnTold: func(request *http.Request, limit time.Duration) { connOf(request).promised = limit },
	})
}

// answerOptions returns a handler that answers requests for the options of the server, which net/http would do
// beside the handler.
func answerOptions(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodOptions && request.RequestURI == "*" {
			writer.Header().Set("Content-Length", "0")
			return
		}
		handler.ServeHTTP(writer, request)
	})
}
