package relay

import (
	"context"
	"net"
	"time"

	"primrosegw/core/fault"
)

// DialerOptions configure a Dialer.
type DialerOptions struct {
	// Host is the name of this host.
	Host string
	// Secret returns the hosts' shared secret, nil while it is unknown.
	Secret func() []byte
}

// Dialer opens connections to backend servers through other hosts. It is safe for concurrent use.
type Dialer struct {
	options DialerOptions
	dialer  net.Dialer
}

// NewDialer returns a Dialer.
func NewDialer(options DialerOptions) *Dialer {
	return &Dialer{options: options, dialer: newNetDialer()}
}

// Dial opens a connection to a process of a backend server through the host at an address, which is
// its listener's. The context limits the time until the connection is open. The connection is a
// *net.TCPConn and behaves as one to the server itself. Errors are of any kind of this package.
func (dialer *Dialer) Dial(ctx context.Context, hostAddress string, target Target) (net.Conn, error) {
	secret := dialer.options.Secret()
	if secret == nil {
		return nil, fault.New("relay.dial", Unauthorized, "the shared secret is not known yet")
	}
	conn, err := dialer.dialer.DialContext(ctx, "tcp4", hostAddress)
	if err != nil {
		return nil, fault.Wrap("relay.dial", Lost, err)
	}
	err = withContext(ctx, conn, func() error { return requestTunnel(conn, secret, newRequest(dialer.options.Host, target)) })
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// withContext calls action, during which the reads and writes of the connection fail once the context
// ends.
func withContext(ctx context.Context, conn net.Conn, action func() error) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		// It fails only if the connection is closed, and then so do the reads.
		_ = conn.SetDeadline(time.Unix(1, 0))
		close(ended)
	})
	err := action()
	if !stop() {
		<-ended
		return fault.Wrap("relay.dial", Lost, context.Cause(ctx))
	}
	return err
}

// requestTunnel is the handshake at the host that is cut off.
func requestTunnel(conn net.Conn, secret []byte, wanted request) error {
	var first challenge
	if err := readMessage(conn, &first); err != nil {
		return err
	}
	if len(first.Nonce) != nonceBytes {
		return fault.New("relay.dial", Malformed, "the nonce has a wrong length")
	}
	message, err := seal(secret, requestLabel, first.Nonce, wanted)
	if err != nil {
		return err
	}
	if err := writeMessage(conn, message); err != nil {
		return err
	}
	return readReply(conn, secret, message.MAC)
}

// readReply reads the reply to the request with a MAC.
func readReply(conn net.Conn, secret, requestMAC []byte) error {
	var message sealed
	if err := readMessage(conn, &message); err != nil {
		return err
	}
	var answer reply
	if err := message.open(secret, replyLabel, requestMAC, &answer); err != nil {
		return err
	}
	switch answer.Result {
	case Opened:
		return nil
	case Refused, UnknownServer, Unreachable:
		return fault.New("relay.dial", answer.Result, "the helping host opens no tunnel")
	default:
		return fault.New("relay.dial", Malformed, "unknown result of the request")
	}
}
