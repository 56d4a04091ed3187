// Package leave ends the connections of an HTTP server whose host stops, so that each request that has been
// read whole gets an answer. http.Server.Shutdown does not: it closes connections on which a request is
// arriving, and drops requests that it reads later.
package leave

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quietTime is how long a connection stays open in Leave after it was accepted or its last answer has
	// ended, as its caller's next request may be on its way.
	quietTime = 200 * time.Millisecond
	// maxHeadTime is how long a head may arrive in Leave if the server sets no shorter limit. It ends TLS
	// connections without a request, whose handshake looks like the beginning of a head.
	maxHeadTime = 5 * time.Second
	// sendTime limits how long an answer may take to a caller whose next request is not read, and sendPollInterval is
	// how often that is looked at.
	sendTime         = 500 * time.Millisecond
	sendPollInterval = 5 * time.Millisecond
	// refusalTime limits how long a refused request is read and dropped, so that its caller reads the refusal.
	refusalTime = 50 * time.Millisecond
	// maxRefusedBytes limits how much of it is.
	maxRefusedBytes = 1 << 20
)

// stage is how far a server has ended.
type stage int

const (
	serving stage = iota
	// leaving: connections end when no request is arriving or being answered.
	leaving
	// ending: no request is read any more.
	ending
)

// Conns holds the connections of one server.
type Conns struct {
	// refusal is the response to a request that has not arrived whole when reading ends; empty: none.
	refusal string
	// isAnnounced: Announce has been called.
	isAnnounced atomic.Bool

	mutex     sync.Mutex
	stage     stage
	listeners []*listener
	open      map[*Conn]struct{}
	// changed is closed, and replaced, when a connection has been closed.
	changed chan struct{}
}

// New returns a Conns without connections. A request that has begun to arrive and can't be waited for gets
// the refusal, a whole HTTP response that closes its connection; empty: its connection is closed.
func New(refusal string) *Conns {
	return &Conns{refusal: refusal, changed: make(chan struct{}), open: make(map[*Conn]struct{})}
}

// Track is called with each change of the state of a connection (http.Server.ConnState). It gives up connections of
// HTTP/2, which http.Server.Shutdown ends in order.
func (conns *Conns) Track(conn net.Conn, state http.ConnState) {
	found := find(conn)
	if found == nil {
		return
	}
	if carriesSeveral(conn) {
		found.enter(answering)
		conns.remove(found)
		return
	}
	switch state {
	case http.StateActive:
		found.enter(answering)
	case http.StateIdle:
		found.enter(waiting)
	case http.StateHijacked:
		conns.remove(found)
	}
}

// carriesSeveral reports whether a connection carries several requests at a time.
func carriesSeveral(conn net.Conn) bool {
	secured, ok := conn.(*tls.Conn)
	return ok && secured.ConnectionState().NegotiatedProtocol == "h2"
}

// Handler returns a handler that tells callers after Announce and in Leave that their connections will be closed.
func (conns *Conns) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		announcer := &announcer{ResponseWriter: writer, conns: conns}
		handler.ServeHTTP(announcer, request)
		announcer.announce()
	})
}

// announcer adds the announcement to a response when its head is written, as the host may have begun to leave since
// the request was read.
type announcer struct {
	http.ResponseWriter
	conns *Conns
}

func (announcer *announcer) announce() {
	if announcer.conns.isAnnounced.Load() || announcer.conns.IsLeaving() {
		announcer.Header().Set("Connection", "close")
	}
}

// Unwrap returns the writer below, for http.ResponseController.
func (announcer *announcer) Unwrap() http.ResponseWriter { return announcer.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (announcer *announcer) WriteHeader(status int) {
	announcer.announce()
	announcer.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (announcer *announcer) Write(part []byte) (int, error) {
	announcer.announce()
	return announcer.ResponseWriter.Write(part)
}

// Flush implements http.Flusher.
func (announcer *announcer) Flush() {
	// An error shows at the next write.
	_ = announcer.FlushError()
}

// FlushError flushes like http.ResponseController.
func (announcer *announcer) FlushError() error {
	announcer.announce()
	return http.NewResponseController(announcer.ResponseWriter).Flush()
}

// Announce makes all responses from now on tell their callers to use another connection next, so that few are idle
// when Leave closes them.
func (conns *Conns) Announce() { conns.isAnnounced.Store(true) }

// Leave closes the listeners and each connection on which no request is arriving or being answered, and waits
// until none is left. It fails with the error of the context if that ends before.
func (conns *Conns) Leave(ctx context.Context) error {
	conns.setStage(leaving)
	conns.closeListeners()
	return conns.wait(ctx)
}

// End is Leave, but refuses the requests that have not arrived whole. It waits for the others.
func (conns *Conns) End(ctx context.Context) error {
	conns.setStage(leaving)
	conns.closeListeners()
	conns.setStage(ending)
	return conns.wait(ctx)
}

// IsLeaving reports whether Leave or End has been called.
func (conns *Conns) IsLeaving() bool { return conns.at() != serving }

func (conns *Conns) at() stage {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	return conns.stage
}

// setStage moves on to a stage, which ends the reads of connections that it closes.
func (conns *Conns) setStage(to stage) {
	conns.mutex.Lock()
	conns.stage = max(conns.stage, to)
	open := make([]*Conn, 0, len(conns.open))
	for conn := range conns.open {
		open = append(open, conn)
	}
	conns.mutex.Unlock()
	for _, conn := range open {
		conn.limitRead()
	}
}

func (conns *Conns) closeListeners() {
	conns.mutex.Lock()
	listeners := conns.listeners
	conns.listeners = nil
	conns.mutex.Unlock()
	for _, listener := range listeners {
		listener.closeEmpty()
	}
}

// wait waits until no connection is open.
func (conns *Conns) wait(ctx context.Context) error {
	for {
		open, changed := conns.count()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// count returns the number of open connections, and what is closed when that changes.
func (conns *Conns) count() (open int, changed <-chan struct{}) {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	return len(conns.open), conns.changed
}

func (conns *Conns) add(conn *Conn) {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	conns.open[conn] = struct{}{}
}

func (conns *Conns) remove(conn *Conn) {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	delete(conns.open, conn)
	close(conns.changed)
	conns.changed = make(chan struct{})
}
