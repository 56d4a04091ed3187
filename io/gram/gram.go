// Package gram sends small authenticated UDP datagrams between hosts. They carry
// advisory data that is outdated within a second, so lost datagrams are not
// retransmitted, and a connection to each host would not be worth its cost. A body that
// is too long for a datagram is compressed and sent in several parts.
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

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// Closed: the socket is closed or could not be opened.
	Closed Kind = "closed"
	// Unsigned: the datagram's signature is invalid, or the datagram is a replay.
	Unsigned Kind = "unsigned"
	// Malformed: the datagram can't be encoded or decoded, or is too long.
	Malformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// signatureBytes is the length of the truncated HMAC-SHA256 that precedes the
	// content of a datagram.
	signatureBytes = 16
	// maxDatagramBytes keeps a datagram below the usual MTU, so that it is not
	// fragmented.
	maxDatagramBytes = 1400
)

// Envelope is the content of a datagram: its sender, its number and the body.
type Envelope[T any] struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation distinguishes successive processes of a host.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence increases with each datagram of a process.
	Sequence uint64 `cbor:"3,keyasint"`
	Body     T      `cbor:"4,keyasint"`
	// Part replaces Body in datagrams that carry a part of a long body.
	Part *Part `cbor:"5,keyasint,omitempty"`
}

// Socket sends and receives datagrams with bodies of one type. It is safe for
// concurrent use.
type Socket[T any] struct {
	conn     *net.UDPConn
	local    Envelope[T]
	sequence atomic.Uint64
	key      atomic.Pointer[[]byte]
	mutex    sync.Mutex
	newest   map[string]position
	// partial holds the incomplete body of each sender. Only Receive uses it.
	partial map[string]*partialBody
}

// position orders the datagrams of a host.
type position struct{ incarnation, sequence uint64 }

// Listen opens a socket at an address. Until SetKey is called, it drops all
// datagrams in both directions.
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
		conn: conn, local: Envelope[T]{Host: host, Incarnation: incarnation}, newest: make(map[string]position), partial: make(map[string]*partialBody),
	}, nil
}

// SetKey sets the secret shared by all hosts.
func (socket *Socket[T]) SetKey(key []byte) { socket.key.Store(&key) }

// Close closes the socket, which makes Receive return.
func (socket *Socket[T]) Close() error { return socket.conn.Close() }

// Send sends a body to each of the addresses. An unreachable address is not an error,
// since delivery is best effort. It fails with Malformed when the body is too long, and
// with Closed after Close.
func (socket *Socket[T]) Send(body T, to ...netip.AddrPort) error {
	key := socket.key.Load()
	if key == nil || len(to) == 0 {
		return nil
	}
	datagrams, err := socket.encode(*key, body)
	if err != nil {
		return err
	}
	for _, address := range to {
		for _, datagram := range datagrams {
			if _, err := socket.conn.WriteToUDPAddrPort(datagram, address); errors.Is(err, net.ErrClosed) {
				return fault.Wrap("gram.send", Closed, err)
			}
		}
	}
	return nil
}

// encode returns the datagrams that carry a body: one, or one for each part.
func (socket *Socket[T]) encode(key []byte, body T) ([][]byte, error) {
	envelope := socket.next()
	envelope.Body = body
	datagram, err := Encode(key, envelope)
	if err == nil {
		return [][]byte{datagram}, nil
	}
	parts, err := split(envelope.Sequence, body)
	if err != nil {
		return nil, err
	}
	datagrams := make([][]byte, 0, len(parts))
	for index := range parts {
		envelope := socket.next()
		envelope.Part = &parts[index]
		datagram, err := Encode(key, envelope)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// next returns the envelope of the next datagram.
func (socket *Socket[T]) next() Envelope[T] {
	envelope := socket.local
	envelope.Sequence = socket.sequence.Add(1)
	return envelope
}

// Receive calls handle for each valid datagram and reject for each invalid one,
// until the socket is closed.
func (socket *Socket[T]) Receive(handle func(host string, body T), reject func(error)) {
	buffer := make([]byte, 2*maxDatagramBytes)
	for {
		count, _, err := socket.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		key := socket.key.Load()
		if err != nil || key == nil {
			continue
		}
		envelope, err := Decode[T](*key, buffer[:count])
		if err == nil {
			err = socket.checkReplay(envelope)
		}
		if err != nil {
			reject(err)
			continue
		}
		complete, err := socket.join(&envelope)
		if err != nil {
			reject(err)
		}
		if complete {
			handle(envelope.Host, envelope.Body)
		}
	}
}

// join adds a part of a long body to those received before, and reports whether the
// body is complete. It then sets the envelope's body. Bodies in one datagram are
// always complete.
func (socket *Socket[T]) join(envelope *Envelope[T]) (bool, error) {
	if envelope.Part == nil {
		return true, nil
	}
	partial := socket.partial[envelope.Host]
	if partial == nil || partial.message != envelope.Part.Message {
		partial = &partialBody{message: envelope.Part.Message}
		socket.partial[envelope.Host] = partial
	}
	if err := partial.add(*envelope.Part); err != nil || !partial.complete() {
		return false, err
	}
	delete(socket.partial, envelope.Host)
	if err := partial.decode(&envelope.Body); err != nil {
		return false, err
	}
	return true, nil
}

// ResetSequence makes the socket accept the next datagram of a host whatever its
// incarnation and sequence number. It is called when a new process of the host
// has registered: its incarnation is lower if the clock was set back.
func (socket *Socket[T]) ResetSequence(host string) {
	socket.mutex.Lock()
	defer socket.mutex.Unlock()
	delete(socket.newest, host)
}

// checkReplay rejects datagrams of this host and those that are not newer than the
// last one accepted from their sender.
func (socket *Socket[T]) checkReplay(envelope Envelope[T]) error {
	socket.mutex.Lock()
	defer socket.mutex.Unlock()
	newest := socket.newest[envelope.Host]
	newer := envelope.Incarnation > newest.incarnation ||
		envelope.Incarnation == newest.incarnation && envelope.Sequence > newest.sequence
	if !newer || envelope.Host == socket.local.Host {
		return fault.New("gram.check", Unsigned, "replayed or reordered datagram from host "+envelope.Host)
	}
	socket.newest[envelope.Host] = position{envelope.Incarnation, envelope.Sequence}
	return nil
}

// Encode encodes and signs a datagram. It fails with Malformed when the datagram is
// too long.
func Encode[T any](key []byte, envelope Envelope[T]) ([]byte, error) {
	content, err := cbor.Marshal(envelope)
	if err != nil {
		return nil, fault.Wrap("gram.seal", Malformed, err)
	}
	if len(content)+signatureBytes > maxDatagramBytes {
		return nil, fault.New("gram.seal", Malformed, "the body exceeds the size limit of a datagram")
	}
	return append(sign(key, content), content...), nil
}

// Decode verifies and decodes a datagram. It fails with Unsigned or Malformed.
func Decode[T any](key, data []byte) (Envelope[T], error) {
	var envelope Envelope[T]
	if len(data) < signatureBytes || !hmac.Equal(data[:signatureBytes], sign(key, data[signatureBytes:])) {
		return envelope, fault.New("gram.open", Unsigned, "invalid signature")
	}
	if err := cbor.Unmarshal(data[signatureBytes:], &envelope); err != nil {
		return envelope, fault.Wrap("gram.open", Malformed, err)
	}
	return envelope, nil
}

func sign(key, content []byte) []byte {
	mac := hmac.New(sha256.New, key)
	// hash.Hash.Write never returns an error.
	_, _ = mac.Write(content)
	return mac.Sum(nil)[:signatureBytes]
}

// Address returns the address that the socket listens on.
func (socket *Socket[T]) Address() netip.AddrPort {
	return socket.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}
