package gram

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"primrosegw/core/fault"
)

const (
	// maxPartBytes is the length of a part, which leaves room for its envelope.
	maxPartBytes = 1200
	// maxParts is the number of parts of a body.
	maxParts = 48
	// MaxBodyBytes is the length of an encoded body before compression.
	MaxBodyBytes = 256 << 10
)

// Part is a part of a compressed body. A body of which a part is lost is dropped.
type Part struct {
	// Message identifies the body among those of its sender.
	Message uint64 `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint,omitempty"`
	Count   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
}

// split compresses a body and divides it into parts. It fails with Malformed when the
// body is too long.
func split(message uint64, body any) ([]Part, error) {
	content, err := cbor.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("gram.split", Malformed, err)
	}
	compressed := compress(content)
	count := (compressed.Len() + maxPartBytes - 1) / maxPartBytes
	if len(content) > MaxBodyBytes || count > maxParts {
		return nil, fault.New("gram.split", Malformed, "the body exceeds the size limit")
	}
	parts := make([]Part, count)
	for index := range parts {
		parts[index] = Part{Message: message, Index: index, Count: count, Data: compressed.Next(maxPartBytes)}
	}
	return parts, nil
}

// compressors holds writers that are not in use: a new one allocates hundreds of
// kilobytes.
var compressors = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return writer
}}

// compress returns the content in the DEFLATE format (RFC 1951).
func compress(content []byte) *bytes.Buffer {
	var compressed bytes.Buffer
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(&compressed)
	// Writing to a bytes.Buffer never returns an error.
	_, _ = writer.Write(content)
	_ = writer.Close()
	return &compressed
}

// partialBody collects the parts of a body.
type partialBody struct {
	message uint64
	parts   [][]byte
	missing int
}

// add adds a part. It fails with Malformed when the part does not fit the others.
func (body *partialBody) add(part Part) error {
	if body.parts == nil && part.Count > 0 && part.Count <= maxParts {
		body.parts, body.missing = make([][]byte, part.Count), part.Count
	}
	if part.Count != len(body.parts) || part.Index < 0 || part.Index >= len(body.parts) || len(part.Data) == 0 {
		return fault.New("gram.join", Malformed, "the part does not belong to a body")
	}
	if body.parts[part.Index] == nil {
		body.missing--
	}
	body.parts[part.Index] = part.Data
	return nil
}

func (body *partialBody) complete() bool { return body.missing == 0 && len(body.parts) > 0 }

// decode decompresses and decodes the complete body.
func (body *partialBody) decode(result any) error {
	reader := flate.NewReader(bytes.NewReader(bytes.Join(body.parts, nil)))
	content, err := io.ReadAll(io.LimitReader(reader, MaxBodyBytes+1))
	if err != nil {
		return fault.Wrap("gram.join", Malformed, err)
	}
	if len(content) > MaxBodyBytes {
		return fault.New("gram.join", Malformed, "the body exceeds the size limit")
	}
	if err := cbor.Unmarshal(content, result); err != nil {
		return fault.Wrap("gram.join", Malformed, err)
	}
	return nil
}
