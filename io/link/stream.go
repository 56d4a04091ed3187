package link

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"primrosegw/core/fault"
)

// canceled is the error code of a stream given up by one side.
const canceled quic.StreamErrorCode = 1

// header opens a stream.
type header struct {
	Message string `cbor:"message"`
}

// sender and receiver are the two halves of a QUIC stream; a one-way message
// has only one of them at each end.
type sender interface {
	io.WriteCloser
	CancelWrite(quic.StreamErrorCode)
	Context() context.Context
}

type receiver interface {
	io.Reader
	CancelRead(quic.StreamErrorCode)
	SetReadDeadline(time.Time) error
}

// Stream is one exchange with a peer.
type Stream struct {
	send    sender
	receive receiver
	peer    string
	mutex   sync.Mutex
	// opening is the header frame, until it has been sent.
	opening []byte
	// unread: the peer's first value is bound by the header's deadline.
	unread bool
}

// Peer returns the host name in the peer's certificate.
func (stream *Stream) Peer() string { return stream.peer }

// Write sends one value. It is safe for concurrent use. After an error the peer
// has not got the whole value.
func (stream *Stream) Write(value any) error {
	frame, err := encode(value)
	if err != nil {
		return err
	}
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.opening != nil {
		frame = append(stream.opening, frame...)
		stream.opening = nil
	}
	if _, err := stream.send.Write(frame); err != nil {
		return fault.Wrap("link.write", Broken, err)
	}
	return nil
}

// Read receives one value. It fails with Broken or Malformed.
func (stream *Stream) Read(value any) error {
	err := ReadFrame(stream.receive, value)
	if stream.unread {
		stream.unread = false
		stream.ReadBefore(time.Time{})
	}
	return err
}

// ReadBefore bounds the wait for following reads.
func (stream *Stream) ReadBefore(deadline time.Time) {
	_ = stream.receive.SetReadDeadline(deadline)
}

// Close ends the sending side; what was written is still delivered. Frames
// that the peer sends after that are not read.
func (stream *Stream) Close() {
	if stream.receive != nil {
		stream.receive.CancelRead(canceled)
	}
	if stream.send != nil {
		_ = stream.send.Close()
	}
}

// Cancel gives the stream up in both directions.
func (stream *Stream) Cancel() {
	if stream.receive != nil {
		stream.receive.CancelRead(canceled)
	}
	if stream.send != nil {
		stream.send.CancelWrite(canceled)
	}
}
