// Package gram sends small signed datagrams between hosts. They carry hints that
// are out of date within a second, so a lost one is not sent again, and a
// connection to each host would cost more than it is worth.
package gram

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"primrosegw/core/fault"
)

// Kind is the sort of a gram error.
type Kind string

// The kinds of gram errors.
const (
	// Closed: the socket is closed or can't be opened.
	Closed Kind = "closed"
	// Unsigned: a datagram is not from a host of the system, or is an old one.
	Unsigned Kind = "unsigned"
	// Malformed: a datagram can't be decoded.
	Malformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// signatureBytes is the length of the signature at the front of a datagram.
	signatureBytes = 16
	// longest is the size of a datagram that passes every link in one packet.
	longest = 1400
)

// Envelope is a datagram's content.
type Envelope[T any] struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation tells the processes of a host apart.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence rises with each datagram of a process.
	Sequence uint64 `cbor:"3,keyasint"`
	Body     T      `cbor:"4,keyasint"`
}

// Socket sends and receives datagrams with bodies of one type. It is safe for
// concurrent use.
type Socket[T any] struct {
	conn     *net.UDPConn
	own      Envelope[T]
	sequence atomic.Uint64
	key      atomic.Pointer[[]byte]
	mutex    sync.Mutex
	last     map[string]mark
}

// mark is the newest datagram of a host.
type mark struct{ incarnation, sequence uint64 }

// Listen opens a socket at an address. Without a key it neither sends nor
// receives.
func Listen[T any](address, host string, incarnation uint64) (*Socket[T], error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.Wrap("gram.listen", Closed, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, fault.Wrap("gram.listen", Closed, err)
	}
	return &Socket[T]{
		conn: conn, own: Envelope[T]{Host: host, Incarnation: incarnation}, last: make(map[string]mark),
	}, nil
}

// SetKey sets the secret that all hosts share.
func (socket *Socket[T]) SetKey(key []byte) { socket.key.Store(&key) }

// Close ends the socket; Receive returns.
func (socket *Socket[T]) Close() error { return socket.conn.Close() }

// Send sends a body to an address. An address that can't be reached now is no
// error; the next datagram goes there again. It fails with Malformed when the
// body is too long.
func (socket *Socket[T]) Send(body T, to netip.AddrPort) error {
	key := socket.key.Load()
	if key == nil {
		return nil
	}
	envelope := socket.own
	envelope.Sequence = socket.sequence.Add(1)
	envelope.Body = body
	data, err := Seal(*key, envelope)
	if err != nil {
		return err
	}
	if _, err := socket.conn.WriteToUDPAddrPort(data, to); errors.Is(err, net.ErrClosed) {
		return fault.Wrap("gram.send", Closed, err)
	}
	return nil
}

// Receive waits for datagrams and calls handle for each proper one until the
// socket is closed. Bad ones are counted by reject.
func (socket *Socket[T]) Receive(handle func(host string, body T), reject func(error)) {
	buffer := make([]byte, 2*longest)
	for {
		count, _, err := socket.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		key := socket.key.Load()
		if err != nil || key == nil {
			continue
		}
		envelope, err := Open[T](*key, buffer[:count])
		if err == nil {
			err = socket.check(envelope)
		}
		if err != nil {
			reject(err)
			continue
		}
		handle(envelope.Host, envelope.Body)
	}
}

// Forget makes the socket take the next datagram of a host whatever its number: a
// new process of the host has registered, and its clock may have gone back.
func (socket *Socket[T]) Forget(host string) {
	socket.mutex.Lock()
	defer socket.mutex.Unlock()
	delete(socket.last, host)
}

// check refuses datagrams that are older than one that was taken.
func (socket *Socket[T]) check(envelope Envelope[T]) error {
	socket.mutex.Lock()
	defer socket.mutex.Unlock()
	last := socket.last[envelope.Host]
	newer := envelope.Incarnation > last.incarnation ||
		envelope.Incarnation == last.incarnation && envelope.Sequence > last.sequence
	if !newer || envelope.Host == socket.own.Host {
		return fault.New("gram.check", Unsigned, "an old datagram of "+envelope.Host)
	}
	socket.last[envelope.Host] = mark{envelope.Incarnation, envelope.Sequence}
	return nil
}

// Seal encodes and signs a datagram. It fails with Malformed when it is too long.
func Seal[T any](key []byte, envelope Envelope[T]) ([]byte, error) {
	content, err := cbor.Marshal(envelope)
	if err != nil {
		return nil, fault.Wrap("gram.seal", Malformed, err)
	}
	if len(content)+signatureBytes > longest {
		return nil, fault.New("gram.seal", Malformed, "the body is too long for a datagram")
	}
	return append(sign(key, content), content...), nil
}

// Open checks and decodes a datagram. It fails with Unsigned or Malformed.
func Open[T any](key, data []byte) (Envelope[T], error) {
	var envelope Envelope[T]
	if len(data) < signatureBytes || !hmac.Equal(data[:signatureBytes], sign(key, data[signatureBytes:])) {
		return envelope, fault.New("gram.open", Unsigned, "the signature does not match")
	}
	if err := cbor.Unmarshal(data[signatureBytes:], &envelope); err != nil {
		return envelope, fault.Wrap("gram.open", Malformed, err)
	}
	return envelope, nil
}

func sign(key, content []byte) []byte {
	code := hmac.New(sha256.New, key)
	// A hash never fails to take bytes.
	_, _ = code.Write(content)
	return code.Sum(nil)[:signatureBytes]
}

// Address returns the address that the socket listens on.
func (socket *Socket[T]) Address() netip.AddrPort {
	return socket.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}
