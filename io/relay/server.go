package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"primrosegw/core/fault"
	"primrosegw/io/guard"
	"primrosegw/io/socket"
)

const (
	// handshakeTimeout is how long a host that connects may take to send its request.
	handshakeTimeout = 300 * time.Millisecond
	// replyTimeout limits the time to send a reply, which fits the buffer of an idle connection.
	replyTimeout = 300 * time.Millisecond
	// dialTimeout limits the time to connect to a backend server, if the other host waits that long.
	dialTimeout = time.Second
	// acceptRetryDelay is the delay after a failed accept, such as one without a free descriptor.
	acceptRetryDelay = 10 * time.Millisecond
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Secret returns the hosts' shared secret. While it is nil, all tunnels are refused.
	Secret func() []byte
	// Resolve returns the address of a target by the helping host's own registrations, and whether it
	// may be sent requests.
	Resolve func(target Target) (address string, usable bool)
	// Dial connects to a backend server over TCP; nil: with TCP_USER_TIMEOUT and without keep-alive.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConns limits the open tunnels, and as well the connections that have not sent a valid request
	// yet. MaxConnsPerHost limits the open tunnels of one other host.
	MaxConns        int
	MaxConnsPerHost int
	// OnTunnel is called for each connection once it is clear whether it becomes a tunnel; may be nil.
	OnTunnel func(attempt Attempt)
	// Guard reports panics; nil: they only end their connection.
	Guard *guard.Guard
}

// Attempt describes what came of a connection of another host.
type Attempt struct {
	// Host and ServerID are empty if no valid request arrived.
	Host     string
	ServerID string
	// Result is Opened or a kind of errors.
	Result Kind
	// Err is the reason unless the result is Opened; nil if the result says all.
	Err error
}

// Server opens tunnels to backend servers for other hosts.
type Server struct {
	options  ServerOptions
	listener *net.TCPListener
	// running ends when Close is called.
	running context.Context
	stop    context.CancelFunc
	// conns counts the goroutines that handle connections.
	conns sync.WaitGroup

	mutex    sync.Mutex
	draining bool
	closed   bool
	// handshakes is the number of connections without a valid request. tunnels is the number of
	// tunnels that are open or about to be, and byHost that of each host.
	handshakes int
	tunnels    int
	byHost     map[string]int
}

// Listen opens a server at an address, which accepts connections once Serve is called. It fails with
// Lost.
func Listen(address string, options ServerOptions) (*Server, error) {
	if options.Dial == nil {
		options.Dial = DialServer
	}
	if options.OnTunnel == nil {
		options.OnTunnel = func(Attempt) {}
	}
	listener, err := socket.Opened().Listen(context.Background(), "tcp4", address, nil)
	if err != nil {
		return nil, fault.Wrap("relay.listen", Lost, err)
	}
	running, stop := context.WithCancel(context.Background())
	return &Server{options: options, listener: listener.(*net.TCPListener), running: running, stop: stop, byHost: make(map[string]int)}, nil
}

// DialServer connects to a backend server.
func DialServer(ctx context.Context, address string) (net.Conn, error) {
	return socket.Opened().Dialer(0).DialContext(ctx, "tcp", address)
}

// Address returns the address that the server listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Open returns the number of tunnels that are open or about to be.
func (server *Server) Open() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.tunnels
}

// Drain makes the server refuse new tunnels. Open ones stay.
func (server *Server) Drain() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.draining = true
}

// Close closes the listener, resets the open tunnels and waits until all of them have ended.
func (server *Server) Close() error {
	server.mutex.Lock()
	server.closed = true
	server.mutex.Unlock()
	server.stop()
	err := server.listener.Close()
	server.conns.Wait()
	return err
}

// Serve accepts connections until Close is called.
func (server *Server) Serve() {
	for {
		conn, err := server.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		prepare(conn)
		if !server.beginHandshake() {
			_ = conn.Close()
			server.protect(func() { server.options.OnTunnel(Attempt{Result: Refused}) })
			continue
		}
		go server.handle(conn)
	}
}

// beginHandshake reports whether a new connection may send a request.
func (server *Server) beginHandshake() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed || server.handshakes >= server.options.MaxConns {
		return false
	}
	server.handshakes++
	server.conns.Add(1)
	return true
}

// endHandshake counts a connection whose request is valid or will not come.
func (server *Server) endHandshake() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.handshakes--
}

// reserve reports whether a host may open one more tunnel, and counts it.
func (server *Server) reserve(host string) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.draining || server.tunnels >= server.options.MaxConns || server.byHost[host] >= server.options.MaxConnsPerHost {
		return false
	}
	server.tunnels++
	server.byHost[host]++
	return true
}

// release counts the end of a tunnel of a host.
func (server *Server) release(host string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.tunnels--
	server.byHost[host]--
	if server.byHost[host] == 0 {
		delete(server.byHost, host)
	}
}

// protect calls action and reports whether it returned without a panic.
func (server *Server) protect(action func()) (ok bool) {
	if server.options.Guard != nil {
		return server.options.Guard.Run("relay", action)
	}
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	action()
	return true
}

// handle serves a connection of another host until its end.
func (server *Server) handle(conn *net.TCPConn) {
	defer server.conns.Done()
	// Closing a connection that has ended in order has no effect.
	defer conn.Close()
	defer context.AfterFunc(server.running, func() { _ = conn.Close() })()
	server.protect(func() { server.serve(conn) })
}

// serve does the handshake of a connection and copies the bytes of the tunnel.
func (server *Server) serve(conn *net.TCPConn) {
	secret, wanted, requestMAC, err := server.receive(conn)
	if err != nil {
		if fault.Is(err, Unauthorized) {
			// The other host can't verify a MAC, and learns that from any reply.
			closeAnswered(conn, sealed{})
		}
		server.options.OnTunnel(Attempt{Result: fault.KindOf[Kind](err), Err: err})
		return
	}
	attempt := Attempt{Host: wanted.Host, ServerID: wanted.ServerID}
	if server.reserve(wanted.Host) {
		defer server.release(wanted.Host)
		backend, err := server.connect(conn, wanted.target())
		if err == nil {
			defer backend.Close()
			server.answerAndCopy(conn, backend, secret, requestMAC, attempt)
			return
		}
		attempt.Result, attempt.Err = fault.KindOf[Kind](err), err
	} else {
		attempt.Result = Refused
	}
	if answer, err := seal(secret, replyLabel, requestMAC, reply{Result: attempt.Result}); err == nil {
		closeAnswered(conn, answer)
	}
	server.options.OnTunnel(attempt)
}

// receive sends the challenge and reads the request. It returns the secret that the request is
// authenticated with, the request and its MAC.
func (server *Server) receive(conn *net.TCPConn) ([]byte, request, []byte, error) {
	defer server.endHandshake()
	var wanted request
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, wanted, nil, fault.Wrap("relay.receive", Lost, err)
	}
	nonce := newNonce()
	if err := writeMessage(conn, challenge{Nonce: nonce}); err != nil {
		return nil, wanted, nil, err
	}
	var message sealed
	if err := readMessage(conn, &message); err != nil {
		return nil, wanted, nil, err
	}
	secret := server.options.Secret()
	if secret == nil {
		return nil, wanted, nil, fault.New("relay.receive", Unauthorized, "the shared secret is not known yet")
	}
	if err := message.open(secret, requestLabel, nonce, &wanted); err != nil {
		return nil, wanted, nil, err
	}
	if len(wanted.Nonce) != nonceBytes {
		return nil, wanted, nil, fault.New("relay.receive", Malformed, "the nonce has a wrong length")
	}
	return secret, wanted, message.MAC, nil
}

// answerAndCopy tells the other host that the tunnel is open, and copies its bytes.
func (server *Server) answerAndCopy(conn *net.TCPConn, backend stream, secret, requestMAC []byte, attempt Attempt) {
	defer context.AfterFunc(server.running, func() { _ = backend.Close() })()
	answer, err := seal(secret, replyLabel, requestMAC, reply{Result: Opened})
	if err == nil {
		err = send(conn, answer)
	}
	if err != nil {
		attempt.Result, attempt.Err = fault.KindOf[Kind](err), err
		server.options.OnTunnel(attempt)
		return
	}
	attempt.Result = Opened
	server.options.OnTunnel(attempt)
	copyBothWays(conn, backend)
}

// closeAnswered sends a reply and closes the connection so that the reply still arrives.
func closeAnswered(conn *net.TCPConn, answer sealed) {
	if send(conn, answer) == nil {
		closeInOrder(conn)
	}
}

// send sends a reply and removes the time limits of the connection.
func send(conn *net.TCPConn, answer sealed) error {
	if err := conn.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return fault.Wrap("relay.send", Lost, err)
	}
	if err := writeMessage(conn, answer); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return fault.Wrap("relay.send", Lost, err)
	}
	return nil
}

// connect dials the backend server, unless the other host leaves or sends anything before it has the
// reply. It fails with UnknownServer, Unreachable, Malformed or Lost.
func (server *Server) connect(conn *net.TCPConn, target Target) (stream, error) {
	address, usable := server.options.Resolve(target)
	if !usable {
		return nil, fault.New("relay.connect", UnknownServer, target.ServerID)
	}
	ctx, cancel := context.WithTimeout(server.running, dialTimeout)
	defer cancel()
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, fault.Wrap("relay.connect", Lost, err)
	}
	early := make(chan error, 1)
	go func() {
		early <- readEarly(conn)
		cancel()
	}()
	backend, err := server.dial(ctx, address)
	// The read ends at once, so that the tunnel gets all that the other host sends.
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	if earlyErr := <-early; earlyErr != nil {
		if err == nil {
			_ = backend.Close()
		}
		return nil, earlyErr
	}
	return backend, err
}

// readEarly waits for what the other host sends while it has to wait for the reply. It returns nil
// if that is nothing until the time limit of the connection.
func readEarly(conn *net.TCPConn) error {
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	switch {
	case err == nil:
		return fault.New("relay.connect", Malformed, "data before the reply")
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil
	default:
		return fault.Wrap("relay.connect", Lost, err)
	}
}

// dial connects to a backend server. It fails with Unreachable, or with Refused if the dialer does or this host
// can open no socket.
func (server *Server) dial(ctx context.Context, address string) (stream, error) {
	conn, err := server.options.Dial(ctx, address)
	if fault.Is(err, Refused) {
		return nil, err
	}
	if socket.IsLacking(err) {
		return nil, fault.Wrap("relay.connect", Refused, err)
	}
	if err != nil {
		return nil, fault.Wrap("relay.connect", Unreachable, err)
	}
	backend, ok := conn.(stream)
	if !ok {
		_ = conn.Close()
		return nil, fault.New("relay.connect", Unreachable, "not a TCP connection")
	}
	prepare(backend)
	return backend, nil
}
