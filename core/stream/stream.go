// Package stream assembles a response from the chunks of several attempts by token
// offset. Each token is delivered exactly once and in order.
package stream

import (
	"fmt"
	"sort"
	"strings"

	"primrosegw/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors of this package. A chunk that is rejected with Stale, WrongRequest or
// Duplicate is dropped and the attempt continues. After Gap or Mismatch, the attempt
// can't deliver any more chunks.
const (
	// Stale: the chunk belongs to an attempt other than the current one.
	Stale Kind = "stale"
	// WrongRequest: the chunk belongs to another request.
	WrongRequest Kind = "crossed"
	// Duplicate: all tokens of the chunk have already been delivered.
	Duplicate Kind = "repeated"
	// Gap: tokens before the chunk are missing.
	Gap Kind = "gap"
	// Mismatch: the chunk overlaps the response, but its text differs.
	Mismatch Kind = "mismatch"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Options configures a stream.
type Options struct {
	// Request is the ID of the request. Chunks with another request ID are dropped.
	Request string
	// Tokens and Text are the part of the response that the client already has.
	Tokens int
	Text   string
}

// Stream is the state of one response. It is not safe for concurrent use.
type Stream struct {
	request string
	attempt int
	// awaitingFirstToken is set until the current attempt has delivered a token.
	awaitingFirstToken bool
	attemptStart       int
	nextOffset         int
	text               strings.Builder
	boundaries         []boundary
	finishReason       string
	finished           bool
	wasted             int
}

// boundary maps a token offset to its byte position in the text.
type boundary struct {
	tokens int
	bytes  int
}

// New returns a stream that starts after the tokens that the client already has.
func New(options Options) *Stream {
	stream := &Stream{request: options.Request, nextOffset: options.Tokens, awaitingFirstToken: true}
	stream.boundaries = append(stream.boundaries, boundary{})
	if options.Tokens > 0 {
		stream.text.WriteString(options.Text)
		stream.addBoundary()
	}
	return stream
}

// BeginAttempt sets the current attempt. Chunks of all other attempts are dropped from
// then on.
func (stream *Stream) BeginAttempt(attempt int) {
	stream.attempt = attempt
	stream.attemptStart = stream.nextOffset
	stream.awaitingFirstToken = true
}

// Accept processes a chunk that an attempt generated, and returns the part of it that
// is to be delivered. If there is nothing to deliver, the error gives the reason.
func (stream *Stream) Accept(attempt int, chunk Chunk) (Chunk, error) {
	if err := stream.validate(attempt, chunk); err != nil {
		stream.wasted += chunk.Tokens
		return Chunk{}, err
	}
	chunk, err := stream.trimOverlap(chunk)
	if err != nil {
		stream.wasted += chunk.Tokens
		return Chunk{}, err
	}
	stream.deliver(chunk)
	return chunk, nil
}

// validate rejects chunks of other requests and attempts, and chunks that don't
// continue the response.
func (stream *Stream) validate(attempt int, chunk Chunk) error {
	const op = "stream.Accept"
	if chunk.Request != "" && chunk.Request != stream.request {
		return fault.New(op, WrongRequest, "the chunk belongs to request "+chunk.Request)
	}
	if attempt != stream.attempt || (chunk.Attempt != 0 && chunk.Attempt != stream.attempt) {
		return fault.New(op, Stale, fmt.Sprintf("the current attempt is %d", stream.attempt))
	}
	if chunk.Offset > stream.nextOffset {
		return fault.New(op, Gap, fmt.Sprintf("tokens %d to %d are missing", stream.nextOffset, chunk.Offset))
	}
	if stream.isDuplicate(chunk) {
		return fault.New(op, Duplicate, fmt.Sprintf("the response already has %d tokens", stream.nextOffset))
	}
	return nil
}

// isDuplicate reports whether a chunk contains nothing new. A chunk without tokens
// (with a role or usage record) is new at the end of the response, unless it is the
// opening record of a resumed attempt.
func (stream *Stream) isDuplicate(chunk Chunk) bool {
	if stream.finished && chunk.Tokens > 0 {
		return true
	}
	if chunk.Tokens > 0 {
		return chunk.Offset+chunk.Tokens <= stream.nextOffset
	}
	if chunk.Offset < stream.nextOffset {
		return true
	}
	opening := stream.awaitingFirstToken && !stream.finished && chunk.FinishReason == ""
	return opening && stream.attemptStart > 0
}

// trimOverlap removes the tokens that have already been delivered from a chunk. The
// chunk must start at the boundary of a delivered chunk and repeat its text exactly:
// otherwise, words could appear twice in the response.
func (stream *Stream) trimOverlap(chunk Chunk) (Chunk, error) {
	overlap := stream.nextOffset - chunk.Offset
	if overlap == 0 || chunk.Tokens == 0 {
		return chunk, nil
	}
	delivered, known := stream.textFrom(chunk.Offset)
	rest, same := strings.CutPrefix(chunk.Text, delivered)
	if !known || !same {
		detail := fmt.Sprintf("the text at offset %d differs from the response", chunk.Offset)
		return chunk, fault.New("stream.Accept", Mismatch, detail)
	}
	stream.wasted += overlap
	chunk.Offset = stream.nextOffset
	chunk.Tokens -= overlap
	chunk.Text = rest
	chunk.Data = nil
	return chunk, nil
}

// textFrom returns the delivered text from a token offset on, and false if the offset
// is not a chunk boundary.
func (stream *Stream) textFrom(offset int) (string, bool) {
	position := sort.Search(len(stream.boundaries), func(index int) bool {
		return stream.boundaries[index].tokens >= offset
	})
	if position == len(stream.boundaries) || stream.boundaries[position].tokens != offset {
		return "", false
	}
	return stream.text.String()[stream.boundaries[position].bytes:], true
}

// deliver appends a chunk to the response.
func (stream *Stream) deliver(chunk Chunk) {
	if chunk.FinishReason != "" {
		stream.finishReason = chunk.FinishReason
		stream.finished = true
	}
	stream.text.WriteString(chunk.Text)
	if chunk.Tokens == 0 {
		return
	}
	stream.awaitingFirstToken = false
	stream.nextOffset += chunk.Tokens
	stream.addBoundary()
}

// addBoundary records where the text of the next token starts.
func (stream *Stream) addBoundary() {
	stream.boundaries = append(stream.boundaries, boundary{tokens: stream.nextOffset, bytes: stream.text.Len()})
}

// Tokens returns the number of tokens in the response so far.
func (stream *Stream) Tokens() int { return stream.nextOffset }

// Text returns the text of the response so far.
func (stream *Stream) Text() string { return stream.text.String() }

// Attempt returns the current attempt.
func (stream *Stream) Attempt() int { return stream.attempt }

// FinishReason returns the engine's reason for ending the response. The response is
// complete only if the second result is true: a stream that ends without a reason was
// cut off.
func (stream *Stream) FinishReason() (string, bool) { return stream.finishReason, stream.finished }

// Wasted returns the number of received tokens that were not delivered.
func (stream *Stream) Wasted() int { return stream.wasted }
