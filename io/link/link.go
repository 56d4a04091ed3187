// Package link carries messages between hosts over QUIC with mutual TLS. One
// connection joins two hosts; each call takes a stream of its own, so that a
// slow caller holds up no other.
package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"primrosegw/core/fault"
)

// Kind is the sort of a link error.
type Kind string

// The kinds of link errors.
const (
	// Unreachable: no connection to the peer; the message was not delivered.
	Unreachable Kind = "unreachable"
	// Broken: the connection was lost; the message may have been delivered.
	Broken Kind = "broken"
	// Malformed: a frame is not what the protocol allows.
	Malformed Kind = "malformed"
	// Closed: this side is closed.
	Closed Kind = "closed"
	// Unbound: the address could not be listened on.
	Unbound Kind = "unbound"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// dialTimeout is how long an entry host waits for an owner before it takes
	// the owner for lost.
	dialTimeout = time.Second
	// idleTimeout closes connections that carry nothing, dead ones included. It
	// is long because a handshake costs about 5 KB, and hosts of other failure
	// domains exchange a message only now and then. There are no keep-alive
	// packets: between 340 hosts they alone would take the 13 KB/s that a host
	// may spend on control. Requests that wait or run have frames of their own
	// that show progress.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds how long a peer may hold a stream open before it has
	// said what it wants: the header and the first value.
	headerTimeout = 5 * time.Second
	// maximumStreams bounds the calls that one peer may have open.
	maximumStreams = 10_000
)

// Handler serves one incoming stream. The stream is closed after it returns.
type Handler func(ctx context.Context, stream *Stream)

// Options are the dependencies of a Link.
type Options struct {
	// Address is the IP number and UDP port to listen on.
	Address string
	// TLS is the mutual TLS configuration.
	TLS *tls.Config
	// Handlers serve incoming streams by their message name.
	Handlers map[string]Handler
	// Packets replaces the UDP socket, as to lose packets in tests; nil: the
	// socket itself.
	Packets func(net.PacketConn) net.PacketConn
}

// Link is a host's end of the connections to all other hosts.
type Link struct {
	options   Options
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup

	mutex sync.Mutex
	peers map[string]*peer
	open  map[*quic.Conn]bool
	// usage counts messages, and the bytes of connections that are closed.
	usage Usage
}

// Usage counts what a host exchanged with its peers. Bytes are those of QUIC
// packets without the UDP and IP headers.
type Usage struct {
	SentMessages     uint64
	ReceivedMessages uint64
	SentBytes        uint64
	ReceivedBytes    uint64
	SentPackets      uint64
	ReceivedPackets  uint64
	Connections      int
}

func (usage *Usage) add(stats quic.ConnectionStats) {
	usage.SentBytes += stats.BytesSent
	usage.ReceivedBytes += stats.BytesReceived
	usage.SentPackets += stats.PacketsSent
	usage.ReceivedPackets += stats.PacketsReceived
}

// peer is the connection to one address. Its mutex is held while dialling, so
// that concurrent calls share one handshake.
type peer struct {
	mutex      sync.Mutex
	connection *quic.Conn
}

// New listens for peers. It fails with Unbound.
func New(options Options) (*Link, error) {
	const op = "link.new"
	address, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unbound, Field: "link_address", Err: err}
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unbound, Field: "link_address", Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	link := &Link{options: options, ctx: ctx, cancel: cancel, peers: make(map[string]*peer), open: make(map[*quic.Conn]bool)}
	link.transport = &quic.Transport{Conn: socket}
	if options.Packets != nil {
		link.transport.Conn = options.Packets(socket)
	}
	link.listener, err = link.transport.Listen(options.TLS, configuration())
	if err != nil {
		cancel()
		_ = socket.Close()
		return nil, fault.Wrap(op, Unbound, err)
	}
	link.group.Go(link.accept)
	return link, nil
}

func configuration() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		// Probing for larger packets costs several kB for each connection, and
		// most messages fit the smallest packet.
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      maximumStreams,
		MaxIncomingUniStreams:   maximumStreams,
	}
}

// Address returns the address listened on.
func (link *Link) Address() string { return link.listener.Addr().String() }

// Close ends all connections and waits for the handlers.
func (link *Link) Close() {
	link.cancel()
	_ = link.listener.Close()
	link.mutex.Lock()
	for _, peer := range link.peers {
		peer.close()
	}
	link.mutex.Unlock()
	_ = link.transport.Close()
	link.group.Wait()
	_ = link.transport.Conn.Close()
}

// Open starts a stream to a peer for the named message. It fails with
// Unreachable.
func (link *Link) Open(ctx context.Context, address, message string) (*Stream, error) {
	const op = "link.open"
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := link.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	opened, err := connection.OpenStreamSync(ctx)
	if err != nil {
		link.drop(address, connection)
		return nil, fault.Wrap(op, Unreachable, err)
	}
	return link.begin(&Stream{send: opened, receive: opened, peer: peerName(connection)}, message)
}

// begin prepares the header that names the message. It goes out with the first
// value, which saves a packet.
func (link *Link) begin(stream *Stream, message string) (*Stream, error) {
	opening, err := encode(header{Message: message})
	if err != nil {
		stream.Cancel()
		return nil, err
	}
	stream.opening = opening
	link.mutex.Lock()
	link.usage.SentMessages++
	link.mutex.Unlock()
	return stream, nil
}

// Send sends one value that needs no answer, on a one-way stream.
func (link *Link) Send(ctx context.Context, address, message string, value any) error {
	const op = "link.send"
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := link.connection(ctx, address)
	if err != nil {
		return err
	}
	opened, err := connection.OpenUniStreamSync(ctx)
	if err != nil {
		link.drop(address, connection)
		return fault.Wrap(op, Unreachable, err)
	}
	stream, err := link.begin(&Stream{send: opened, peer: peerName(connection)}, message)
	if err != nil {
		return err
	}
	defer stream.Close()
	return stream.Write(value)
}

// Ask sends one value and reads one answer.
func (link *Link) Ask(ctx context.Context, address, message string, value, answer any) error {
	stream, err := link.Open(ctx, address, message)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.Cancel()
	if err := stream.Write(value); err != nil {
		return err
	}
	return stream.Read(answer)
}

// Usage returns the counts so far.
func (link *Link) Usage() Usage {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	usage := link.usage
	for connection := range link.open {
		usage.add(connection.ConnectionStats())
	}
	usage.Connections = len(link.open)
	return usage
}

// track counts a connection while it is open.
func (link *Link) track(connection *quic.Conn) {
	link.mutex.Lock()
	link.open[connection] = true
	link.mutex.Unlock()
	context.AfterFunc(connection.Context(), func() {
		link.mutex.Lock()
		defer link.mutex.Unlock()
		delete(link.open, connection)
		link.usage.add(connection.ConnectionStats())
	})
}

// adopt lets calls to a peer use the connection that the peer has opened. Hosts
// dial from the address that they listen on, so the peer is known by it.
func (link *Link) adopt(connection *quic.Conn) {
	found := link.peerOf(connection.RemoteAddr().String())
	// A host that is dialling this peer right now goes on with its own.
	if !found.mutex.TryLock() {
		return
	}
	defer found.mutex.Unlock()
	if found.connection == nil || found.connection.Context().Err() != nil {
		found.connection = connection
	}
}

func (link *Link) peerOf(address string) *peer {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	found, ok := link.peers[address]
	if !ok {
		found = &peer{}
		link.peers[address] = found
	}
	return found
}

func (link *Link) connection(ctx context.Context, address string) (*quic.Conn, error) {
	const op = "link.connect"
	found := link.peerOf(address)
	found.mutex.Lock()
	defer found.mutex.Unlock()
	if found.connection != nil && found.connection.Context().Err() == nil {
		return found.connection, nil
	}
	if link.ctx.Err() != nil {
		return nil, fault.New(op, Closed, "the link is closed")
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.Wrap(op, Unreachable, err)
	}
	connection, err := link.transport.Dial(ctx, target, link.options.TLS, configuration())
	if err != nil {
		return nil, fault.Wrap(op, Unreachable, err)
	}
	found.connection = connection
	link.group.Go(func() { link.serve(connection) })
	return connection, nil
}

// drop closes a connection that failed, so that the next call dials again.
func (link *Link) drop(address string, connection *quic.Conn) {
	link.mutex.Lock()
	found := link.peers[address]
	link.mutex.Unlock()
	if found == nil {
		return
	}
	found.mutex.Lock()
	defer found.mutex.Unlock()
	if found.connection == connection {
		found.connection = nil
		_ = connection.CloseWithError(0, "no stream")
	}
}

func (peer *peer) close() {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.connection != nil {
		_ = peer.connection.CloseWithError(0, "closed")
	}
}

func (link *Link) accept() {
	for {
		connection, err := link.listener.Accept(link.ctx)
		if err != nil {
			return
		}
		link.adopt(connection)
		link.group.Go(func() { link.serve(connection) })
	}
}

func (link *Link) serve(connection *quic.Conn) {
	link.track(connection)
	peer := peerName(connection)
	link.group.Go(func() { link.serveOneWay(connection, peer) })
	for {
		accepted, err := connection.AcceptStream(link.ctx)
		if err != nil {
			_ = connection.CloseWithError(0, "closed")
			return
		}
		stream := &Stream{send: accepted, receive: accepted, peer: peer}
		link.group.Go(func() { link.handle(accepted.Context(), stream) })
	}
}

func (link *Link) serveOneWay(connection *quic.Conn, peer string) {
	for {
		accepted, err := connection.AcceptUniStream(link.ctx)
		if err != nil {
			return
		}
		stream := &Stream{receive: accepted, peer: peer}
		link.group.Go(func() { link.handle(connection.Context(), stream) })
	}
}

// handle serves one stream. Its context ends when the peer gives the stream up
// or the connection breaks.
func (link *Link) handle(ctx context.Context, stream *Stream) {
	stream.ReadBefore(time.Now().Add(headerTimeout))
	var opening header
	if err := stream.Read(&opening); err != nil {
		stream.Cancel()
		return
	}
	handler, ok := link.options.Handlers[opening.Message]
	if !ok {
		stream.Cancel()
		return
	}
	link.mutex.Lock()
	link.usage.ReceivedMessages++
	link.mutex.Unlock()
	stream.unread = true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handler(ctx, stream)
	stream.Close()
}

// peerName returns the host name in the peer's verified certificate.
func peerName(connection *quic.Conn) string {
	certificates := connection.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return certificates[0].Subject.CommonName
}
