// Package stream assembles one answer from the attempts that generated it, by
// token offset. Each token is delivered once and in order.
package stream

import (
	"fmt"
	"sort"
	"strings"

	"primrosegw/core/fault"
)

// Kind is the sort of a stream error.
type Kind string

// The kinds of stream errors. A piece that is Stale, Crossed or Repeated is
// dropped and the attempt goes on; after a Gap or a Mismatch the attempt can
// deliver nothing more.
const (
	// Stale: the piece belongs to an attempt that is not the current one.
	Stale Kind = "stale"
	// Crossed: the piece belongs to another request.
	Crossed Kind = "crossed"
	// Repeated: all tokens of the piece were delivered before.
	Repeated Kind = "repeated"
	// Gap: tokens before the piece are missing.
	Gap Kind = "gap"
	// Mismatch: the piece overlaps the answer with another text.
	Mismatch Kind = "mismatch"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Options configures a stream.
type Options struct {
	// Request is the id of the request; pieces that name another one are dropped.
	Request string
	// Tokens and Text are what the caller has of the answer already.
	Tokens int
	Text   string
}

// Stream is one answer. It is not safe for concurrent use.
type Stream struct {
	request string
	attempt int
	// fresh: the current attempt has delivered no token yet.
	fresh    bool
	started  int
	next     int
	text     strings.Builder
	bounds   []boundary
	finish   string
	finished bool
	wasted   int
}

// boundary is a token offset whose position in the text is known.
type boundary struct {
	tokens int
	bytes  int
}

// New returns a stream that begins after the tokens that the caller has.
func New(options Options) *Stream {
	stream := &Stream{request: options.Request, next: options.Tokens, fresh: true}
	stream.bounds = append(stream.bounds, boundary{})
	if options.Tokens > 0 {
		stream.text.WriteString(options.Text)
		stream.mark()
	}
	return stream
}

// Begin makes an attempt the current one. Pieces of all others are dropped
// from now on.
func (stream *Stream) Begin(attempt int) {
	stream.attempt = attempt
	stream.started = stream.next
	stream.fresh = true
}

// Accept takes a piece that an attempt generated and returns the part of it to
// deliver. The error says why there is nothing to deliver.
func (stream *Stream) Accept(attempt int, chunk Chunk) (Chunk, error) {
	if err := stream.check(attempt, chunk); err != nil {
		stream.wasted += chunk.Tokens
		return Chunk{}, err
	}
	chunk, err := stream.trim(chunk)
	if err != nil {
		stream.wasted += chunk.Tokens
		return Chunk{}, err
	}
	stream.deliver(chunk)
	return chunk, nil
}

// check refuses a piece of another request or attempt, and one that does not
// continue the answer.
func (stream *Stream) check(attempt int, chunk Chunk) error {
	const op = "stream.Accept"
	if chunk.Request != "" && chunk.Request != stream.request {
		return fault.New(op, Crossed, "the piece belongs to request "+chunk.Request)
	}
	if attempt != stream.attempt || (chunk.Attempt != 0 && chunk.Attempt != stream.attempt) {
		return fault.New(op, Stale, fmt.Sprintf("attempt %d is current", stream.attempt))
	}
	if chunk.Offset > stream.next {
		return fault.New(op, Gap, fmt.Sprintf("tokens %d to %d are missing", stream.next, chunk.Offset))
	}
	if stream.repeated(chunk) {
		return fault.New(op, Repeated, fmt.Sprintf("the answer has %d tokens already", stream.next))
	}
	return nil
}

// repeated reports whether a piece carries nothing new. A piece without tokens
// (a role or a usage record) is new at the end of the answer, but the opening
// record of a resumed attempt is not.
func (stream *Stream) repeated(chunk Chunk) bool {
	if stream.finished && chunk.Tokens > 0 {
		return true
	}
	if chunk.Tokens > 0 {
		return chunk.Offset+chunk.Tokens <= stream.next
	}
	if chunk.Offset < stream.next {
		return true
	}
	opening := stream.fresh && !stream.finished && chunk.Finish == ""
	return opening && stream.started > 0
}

// trim cuts the tokens off a piece that were delivered before. The text of
// those tokens is known where a delivered piece ended; the piece must repeat
// it exactly, because a different text would put words into the answer twice.
func (stream *Stream) trim(chunk Chunk) (Chunk, error) {
	overlap := stream.next - chunk.Offset
	if overlap == 0 || chunk.Tokens == 0 {
		return chunk, nil
	}
	delivered, known := stream.since(chunk.Offset)
	rest, same := strings.CutPrefix(chunk.Text, delivered)
	if !known || !same {
		detail := fmt.Sprintf("the text at offset %d differs from the answer", chunk.Offset)
		return chunk, fault.New("stream.Accept", Mismatch, detail)
	}
	stream.wasted += overlap
	chunk.Offset = stream.next
	chunk.Tokens -= overlap
	chunk.Text = rest
	chunk.Data = nil
	return chunk, nil
}

// since returns the delivered text from a token offset on, and false when no
// piece began there.
func (stream *Stream) since(offset int) (string, bool) {
	position := sort.Search(len(stream.bounds), func(index int) bool {
		return stream.bounds[index].tokens >= offset
	})
	if position == len(stream.bounds) || stream.bounds[position].tokens != offset {
		return "", false
	}
	return stream.text.String()[stream.bounds[position].bytes:], true
}

// deliver appends a piece to the answer.
func (stream *Stream) deliver(chunk Chunk) {
	if chunk.Finish != "" {
		stream.finish = chunk.Finish
		stream.finished = true
	}
	stream.text.WriteString(chunk.Text)
	if chunk.Tokens == 0 {
		return
	}
	stream.fresh = false
	stream.next += chunk.Tokens
	stream.mark()
}

// mark remembers where the text of the next token begins.
func (stream *Stream) mark() {
	stream.bounds = append(stream.bounds, boundary{tokens: stream.next, bytes: stream.text.Len()})
}

// Tokens returns the number of tokens in the answer.
func (stream *Stream) Tokens() int { return stream.next }

// Text returns the text of the answer so far.
func (stream *Stream) Text() string { return stream.text.String() }

// Attempt returns the current attempt.
func (stream *Stream) Attempt() int { return stream.attempt }

// Finish returns the engine's reason for ending. The answer is complete only
// when it reports true: a stream that ends without a reason was cut.
func (stream *Stream) Finish() (string, bool) { return stream.finish, stream.finished }

// Wasted returns the number of tokens that arrived and were not delivered.
func (stream *Stream) Wasted() int { return stream.wasted }
