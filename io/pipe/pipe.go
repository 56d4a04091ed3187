// Package pipe keeps the connections to backend servers. It speaks HTTP/1.1
// with one request at a time on a connection, and tells exactly whether a
// request may have reached the server: net/http's transport sends requests
// again by itself and cannot say so.
package pipe

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"primrosegw/core/fault"
)

// Kind is the sort of a pipe error.
type Kind string

// The kinds of pipe errors.
const (
	// Unreachable: no connection came about; nothing was sent.
	Unreachable Kind = "unreachable"
	// Crowded: the host has as many connections to the server as it may.
	Crowded Kind = "crowded"
	// Unsent: the connection broke before the first byte of the request left.
	Unsent Kind = "unsent"
	// Lost: the request may have arrived, and there is no answer.
	Lost Kind = "lost"
	// Malformed: what the server sent is no answer.
	Malformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// DefaultDialTimeout bounds the establishment of a connection.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept when the
	// server does not say how long it keeps it.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the time that a server keeps an idle
	// connection, so that no request crosses its close.
	idleMargin = 700 * time.Millisecond
	// silentTimeout is the time without an acknowledgement after which the
	// kernel gives a connection up.
	silentTimeout = 2 * time.Second
	readBuffer    = 4 << 10
)

// Options configure a Pool.
type Options struct {
	// DialTimeout bounds the establishment of a connection; 0: the default.
	DialTimeout time.Duration
	// Opened is called for each new connection; nil: nothing.
	Opened func(address string)
}

// Pool holds the idle connections to all backend servers. It is safe for
// concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mutex   sync.Mutex
	servers map[string]*server
}

// server is the connections to one process of a backend server.
type server struct {
	idle []*Conn
	open int
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.Opened == nil {
		options.Opened = func(string) {}
	}
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, Control: GiveUpSilent, KeepAlive: -1},
		servers: make(map[string]*server),
	}
}

// GiveUpSilent sets TCP_USER_TIMEOUT on a new socket, so that a connection whose
// peer is gone without a word fails within seconds.
func GiveUpSilent(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get returns an idle connection to a server or opens one. The key tells
// processes of servers apart that have had the same address. Limit is the number
// of connections that this host may have open; 0: any. It fails with
// Unreachable or Crowded.
func (pool *Pool) Get(ctx context.Context, key, address string, limit int) (*Conn, error) {
	if conn := pool.take(key); conn != nil {
		return conn, nil
	}
	if !pool.reserve(key, limit) {
		return nil, fault.New("pipe.get", Crowded, address)
	}
	pool.options.Opened(address)
	raw, err := pool.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		pool.release(key)
		return nil, fault.Wrap("pipe.get", Unreachable, err)
	}
	conn := &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), pool: pool, key: key, Fresh: true}
	conn.wake = make(chan struct{}, 1)
	conn.resume = make(chan struct{}, 1)
	conn.keep = DefaultIdleTimeout
	conn.busy = true
	go conn.watch()
	return conn, nil
}

// take returns the most recently used idle connection that still works.
func (pool *Pool) take(key string) *Conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known := pool.servers[key]
	now := time.Now()
	for known != nil && len(known.idle) > 0 {
		last := len(known.idle) - 1
		conn := known.idle[last]
		known.idle = known.idle[:last]
		if now.After(conn.until) || !conn.claim() {
			conn.raw.Close()
			continue
		}
		return conn
	}
	return nil
}

func (pool *Pool) reserve(key string, limit int) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known := pool.servers[key]
	if known == nil {
		known = &server{}
		pool.servers[key] = known
	}
	if limit > 0 && known.open >= limit {
		return false
	}
	known.open++
	return true
}

func (pool *Pool) release(key string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known := pool.servers[key]
	if known == nil {
		return
	}
	known.open--
	if known.open <= 0 && len(known.idle) == 0 {
		delete(pool.servers, key)
	}
}

// put takes a connection back for another request.
func (pool *Pool) put(conn *Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known := pool.servers[conn.key]
	if known == nil {
		conn.raw.Close()
		return
	}
	conn.until = time.Now().Add(conn.keep)
	known.idle = append(known.idle, conn)
}

// Sweep closes connections that have been idle for too long.
func (pool *Pool) Sweep(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, known := range pool.servers {
		kept := known.idle[:0]
		for _, conn := range known.idle {
			if now.After(conn.until) {
				conn.raw.Close()
				continue
			}
			kept = append(kept, conn)
		}
		known.idle = kept
	}
}

// Open returns the number of connections to a server.
func (pool *Pool) Open(key string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if known := pool.servers[key]; known != nil {
		return known.open
	}
	return 0
}
