// Package pipe is a connection pool and HTTP/1.1 client for backend servers,
// without pipelining. It is used in place of http.Transport, because its errors
// say whether a request may have reached the server: http.Transport retries some
// requests by itself and does not report whether any bytes were sent.
package pipe

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fault"
	"primrosegw/io/socket"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// Unreachable: the connection could not be established; nothing was sent.
	Unreachable Kind = "unreachable"
	// TooManyConnections: the host has reached its limit of connections to the
	// server.
	TooManyConnections Kind = "crowded"
	// Unsent: the connection failed before any byte of the request was written.
	Unsent Kind = "unsent"
	// Lost: the connection failed without a response after a part of the request
	// was written; the request may have run.
	Lost Kind = "lost"
	// NoPath: no connection could be opened, for a reason that says nothing of the server; nothing was
	// sent.
	NoPath Kind = "no_path"
	// Malformed: the server did not send a valid response; the request may have
	// run.
	Malformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// DefaultDialTimeout limits the time to establish a connection.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept when the server
	// sends no Keep-Alive timeout.
	DefaultIdleTimeout = 4 * time.Second
	// idleCloseMargin is subtracted from the server's Keep-Alive timeout, so that no
	// request is sent while the server closes the connection.
	idleCloseMargin = 700 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxHeaderBytes limits the bytes that are read for the headers of a response,
	// including the interim responses before it.
	maxHeaderBytes = 64 << 10
)

// Options configure a Pool.
type Options struct {
	// DialTimeout limits the time to establish a connection; 0: DefaultDialTimeout.
	DialTimeout time.Duration
	// OnDial is called before each dial; may be nil.
	OnDial func(address string)
	// OnClosedIdle is called with the key of each idle connection that a server closes, or on
	// which it sends something; may be nil.
	OnClosedIdle func(key string)
	// OnResetIdle is called before OnClosedIdle with the key of a direct connection that was reset; may be
	// nil.
	OnResetIdle func(key string)
	// Dial opens a connection to a process of a server, directly or through another host, whose name it
	// returns; nil: always directly. It fails with Unreachable, or with NoPath if that says nothing of
	// the server.
	Dial func(ctx context.Context, key, address string) (conn net.Conn, via string, err error)
	// MayReuse reports whether an idle connection may be used, given the host through which it goes,
	// empty for a direct one. Others are closed. May be nil.
	MayReuse func(key, via string) bool
	// OnBytes is called when bytes arrive on a direct connection; may be nil.
	OnBytes func(key string)
}

// Pool holds the idle connections to all backend servers and counts the open ones.
// It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  *net.Dialer
	mutex   sync.Mutex
	servers map[string]*serverConns
}

// serverConns holds the connections to one process of a backend server.
type serverConns struct {
	// idle holds the connections without a response before the others, the last to be taken first.
	idle []*Conn
	open int
}

// New returns an empty pool.
func New(options Options) *Pool {
	options = options.withDefaults()
	pool := &Pool{
		options: options,
		dialer:  socket.Opened().Dialer(options.DialTimeout),
		servers: make(map[string]*serverConns),
	}
	if pool.options.Dial == nil {
		pool.options.Dial = pool.dialDirect
	}
	return pool
}

// withDefaults returns the options with a value for each one but Dial.
func (options Options) withDefaults() Options {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.OnDial == nil {
		options.OnDial = func(string) {}
	}
	if options.OnClosedIdle == nil {
		options.OnClosedIdle = func(string) {}
	}
	if options.MayReuse == nil {
		options.MayReuse = func(string, string) bool { return true }
	}
	if options.OnResetIdle == nil {
		options.OnResetIdle = func(string) {}
	}
	if options.OnBytes == nil {
		options.OnBytes = func(string) {}
	}
	return options
}

// NewDialer returns a dialer of direct connections to servers with the settings of a pool.
func NewDialer() *net.Dialer { return socket.Opened().Dialer(DefaultDialTimeout) }

// dialDirect opens a direct connection.
func (pool *Pool) dialDirect(ctx context.Context, _, address string) (net.Conn, string, error) {
	conn, err := pool.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, "", fault.Wrap("pipe.dial", Unreachable, err)
	}
	return conn, "", nil
}

// Get returns an idle connection to a server or opens one. The key distinguishes
// processes of servers that have had the same address. Limit is the maximum number
// of open connections; 0: unlimited. It fails with Unreachable, NoPath or
// TooManyConnections.
func (pool *Pool) Get(ctx context.Context, key, address string, limit int) (*Conn, error) {
	if conn := pool.takeIdle(key); conn != nil {
		return conn, nil
	}
	if !pool.reserveSlot(key, limit) {
		return nil, fault.New("pipe.get", TooManyConnections, address)
	}
	return pool.dial(ctx, key, address)
}

// slotPollInterval is how often Open looks whether it may open a connection.
const slotPollInterval = time.Millisecond

// Open opens a connection to a server and takes no idle one. If the limit is reached, it closes an
// idle one instead, or waits for the end of another until the context ends. It fails like Get.
func (pool *Pool) Open(ctx context.Context, key, address string, limit int) (*Conn, error) {
	for !pool.reserveSlot(key, limit) {
		if conn := pool.takeIdle(key); conn != nil {
			conn.Discard()
		}
		select {
		case <-ctx.Done():
			return nil, fault.New("pipe.open", TooManyConnections, address)
		case <-time.After(slotPollInterval):
		}
	}
	return pool.dial(ctx, key, address)
}

// dial opens a connection for which a slot is reserved.
func (pool *Pool) dial(ctx context.Context, key, address string) (*Conn, error) {
	openedAt := time.Now()
	pool.options.OnDial(address)
	raw, via, err := pool.options.Dial(ctx, key, address)
	if err != nil {
		pool.releaseSlot(key)
		return nil, err
	}
	limiter := &limiter{reader: raw}
	if via == "" {
		limiter.onBytes = func() { pool.options.OnBytes(key) }
	}
	conn := &Conn{Via: via, raw: raw, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), pool: pool, key: key, Dialed: true, OpenedAt: openedAt}
	conn.readable = make(chan struct{}, 1)
	conn.rearm = make(chan struct{}, 1)
	conn.idleTimeout = DefaultIdleTimeout
	conn.inUse = true
	go conn.watch()
	return conn, nil
}

// takeIdle returns the most recently used idle connection that is still open, one
// without a response only if there is no other, or nil.
func (pool *Pool) takeIdle(key string) *Conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conns := pool.servers[key]
	now := time.Now()
	for conns != nil && len(conns.idle) > 0 {
		last := len(conns.idle) - 1
		conn := conns.idle[last]
		conns.idle = conns.idle[:last]
		if now.After(conn.idleDeadline) || !pool.options.MayReuse(key, conn.Via) || !conn.claim() {
			conn.Close()
			continue
		}
		return conn
	}
	return nil
}

func (pool *Pool) reserveSlot(key string, limit int) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conns := pool.servers[key]
	if conns == nil {
		conns = &serverConns{}
		pool.servers[key] = conns
	}
	if limit > 0 && conns.open >= limit {
		return false
	}
	conns.open++
	return true
}

func (pool *Pool) releaseSlot(key string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conns := pool.servers[key]
	if conns == nil {
		return
	}
	conns.open--
	if conns.open <= 0 && len(conns.idle) == 0 {
		delete(pool.servers, key)
	}
}

// putIdle adds a connection to the idle ones. One that a probe has opened and that has brought no response
// comes after those that have: a response on an older connection shows that the process of the requests before
// still runs.
func (pool *Pool) putIdle(conn *Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conns := pool.servers[conn.key]
	if conns == nil {
		conn.raw.Close()
		return
	}
	conn.idleDeadline = time.Now().Add(conn.idleTimeout)
	position := len(conns.idle)
	if !conn.answered {
		position = conns.unanswered()
	}
	conns.idle = slices.Insert(conns.idle, position, conn)
}

// unanswered returns the number of idle connections without a response, which are the first.
func (conns *serverConns) unanswered() int {
	first := slices.IndexFunc(conns.idle, func(conn *Conn) bool { return conn.answered })
	if first < 0 {
		return len(conns.idle)
	}
	return first
}

// CloseExpired closes the connections whose idle deadline has passed.
func (pool *Pool) CloseExpired(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, conns := range pool.servers {
		kept := conns.idle[:0]
		for _, conn := range conns.idle {
			if now.After(conn.idleDeadline) {
				conn.raw.Close()
				continue
			}
			kept = append(kept, conn)
		}
		conns.idle = kept
	}
}

// OpenConnections returns the number of open connections to a server.
func (pool *Pool) OpenConnections(key string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if conns := pool.servers[key]; conns != nil {
		return conns.open
	}
	return 0
}
