package link

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"primrosegw/core/fault"
)

// MaximumFrameBytes bounds one frame. It holds the largest document (1 MB) or
// caller's body with room for the envelope.
const MaximumFrameBytes = 4 << 20

// prefixBytes is the length prefix of a frame, big endian.
const prefixBytes = 4

// The bounds for decoding a frame from a peer.
const (
	maximumNesting  = 16
	maximumElements = 1 << 16
)

// decoder is made once: building it costs more than decoding a token's frame.
var decoder = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maximumNesting,
		MaxArrayElements: maximumElements,
		MaxMapPairs:      maximumElements,
	}.DecMode()
	if err != nil {
		// The options are constants within the library's ranges.
		panic(err)
	}
	return mode
})

// encode returns one value as a frame: its length and its CBOR form.
func encode(value any) ([]byte, error) {
	const op = "link.write_frame"
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(op, Malformed, err)
	}
	if len(data) > MaximumFrameBytes {
		return nil, fault.New(op, Malformed, "the frame is larger than 4 MiB")
	}
	frame := make([]byte, prefixBytes, prefixBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return append(frame, data...), nil
}

// WriteFrame writes one value as a frame.
func WriteFrame(writer io.Writer, value any) error {
	frame, err := encode(value)
	if err != nil {
		return err
	}
	if _, err := writer.Write(frame); err != nil {
		return fault.Wrap("link.write_frame", Broken, err)
	}
	return nil
}

// ReadFrame reads one frame into value. Memory grows with the bytes received,
// not with the length that the peer claims.
func ReadFrame(reader io.Reader, value any) error {
	const op = "link.read_frame"
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return fault.Wrap(op, Broken, err)
	}
	length := int64(binary.BigEndian.Uint32(prefix[:]))
	if length > MaximumFrameBytes {
		return fault.New(op, Malformed, "the frame is larger than 4 MiB")
	}
	data, err := io.ReadAll(io.LimitReader(reader, length))
	if err != nil {
		return fault.Wrap(op, Broken, err)
	}
	if int64(len(data)) < length {
		return fault.Wrap(op, Broken, io.ErrUnexpectedEOF)
	}
	if err := decoder().Unmarshal(data, value); err != nil {
		return fault.Wrap(op, Malformed, err)
	}
	return nil
}
