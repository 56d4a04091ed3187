package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/standin/framing"
)

// part is one published chunk, or a whole answer. Offset is the extension that
// counts the tokens of the answer before the chunk.
type part struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	Offset  int      `json:"offset"`
}

// choice is one alternative of an answer; the engine gives one.
type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// delta is a piece of a chat message.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage counts the tokens of a call.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// newPart returns a part without choices.
func newPart(call cell.Call, task task, offset int) part {
	object := "text_completion"
	if call.Request.Chat {
		object = "chat.completion.chunk"
	}
	return part{
		ID: "cmpl-" + call.Request.ID, Object: object, Created: time.Now().Unix(),
		Model: task.model, Choices: []choice{}, Offset: offset,
	}
}

// newUsage counts a finished answer.
func newUsage(task task, tokens int) *usage {
	return &usage{PromptTokens: task.promptTokens, CompletionTokens: tokens, TotalTokens: task.promptTokens + tokens}
}

// payload returns the published JSON of one chunk.
func payload(call cell.Call, task task, chunk cell.Chunk) []byte {
	part := newPart(call, task, chunk.Offset)
	choice := choice{}
	if call.Request.Chat {
		choice.Delta = &delta{Content: chunk.Text}
	} else {
		choice.Text = &chunk.Text
	}
	if chunk.FinishReason != "" {
		choice.FinishReason = &chunk.FinishReason
	}
	part.Choices = append(part.Choices, choice)
	data, _ := json.Marshal(part)
	return data
}

// stream writes an answer as server-sent events, or whole.
type stream struct {
	writer  http.ResponseWriter
	call    cell.Call
	task    task
	body    body
	framing framing.Framing
	begun   bool
	text    strings.Builder
	tokens  int
}

// emit writes one chunk.
func (stream *stream) emit(chunk cell.Chunk) error {
	stream.tokens = chunk.Offset + chunk.Tokens
	if stream.whole() {
		stream.text.WriteString(chunk.Text)
		return nil
	}
	if err := stream.begin(chunk.Offset); err != nil {
		return err
	}
	if err := stream.event(payload(stream.call, stream.task, chunk)); err != nil {
		return err
	}
	if chunk.FinishReason != "" {
		return stream.close()
	}
	return nil
}

// whole reports whether the caller asked for one JSON answer.
func (stream *stream) whole() bool {
	return stream.body.Stream != nil && !*stream.body.Stream
}

// begin sends the header, and the role of a chat.
func (stream *stream) begin(offset int) error {
	if stream.begun {
		return nil
	}
	stream.begun = true
	stream.writer.Header().Set("Content-Type", "text/event-stream")
	stream.writer.Header().Set("Cache-Control", "no-cache")
	length := 0
	if stream.framing == framing.Length {
		length = stream.length(offset)
	}
	if err := stream.framing.WriteHead(stream.writer, http.StatusOK, length); err != nil {
		return err
	}
	if !stream.call.Request.Chat {
		return nil
	}
	return stream.event(stream.rolePart(offset))
}

// length returns the number of bytes of the answer from an offset on.
func (stream *stream) length(offset int) int {
	last := cell.Chunk{Offset: stream.task.length, FinishReason: stream.task.finish}
	length := len(eventOf(payload(stream.call, stream.task, last))) + len(eventOf([]byte(endMark)))
	if stream.call.Request.Chat {
		length += len(eventOf(stream.rolePart(offset)))
	}
	for next := offset; next < stream.task.length; next++ {
		length += len(eventOf(payload(stream.call, stream.task, cell.Chunk{Offset: next, Tokens: 1, Text: stream.task.word(next)})))
	}
	if stream.includesUsage() {
		length += len(eventOf(stream.usagePart(stream.task.length)))
	}
	return length
}

// rolePart is the first event of a chat.
func (stream *stream) rolePart(offset int) []byte {
	part := newPart(stream.call, stream.task, offset)
	part.Choices = append(part.Choices, choice{Delta: &delta{Role: "assistant"}})
	data, _ := json.Marshal(part)
	return data
}

// usagePart is the event with the usage after a number of tokens.
func (stream *stream) usagePart(tokens int) []byte {
	part := newPart(stream.call, stream.task, tokens)
	part.Usage = newUsage(stream.task, tokens)
	data, _ := json.Marshal(part)
	return data
}

func (stream *stream) includesUsage() bool {
	include := stream.body.StreamOptions.IncludeUsage
	return include == nil || *include
}

// endMark is the last event of an answer.
const endMark = "[DONE]"

// eventOf returns a server-sent event.
func eventOf(data []byte) []byte {
	return []byte("data: " + string(data) + "\n\n")
}

// event sends one server-sent event.
func (stream *stream) event(data []byte) error {
	if _, err := stream.writer.Write(eventOf(data)); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

// close sends the usage and the end mark.
func (stream *stream) close() error {
	if stream.includesUsage() {
		if err := stream.event(stream.usagePart(stream.tokens)); err != nil {
			return err
		}
	}
	return stream.event([]byte(endMark))
}

// end finishes the response once the engine is done with the call.
func (stream *stream) end(err error) {
	switch {
	case err == nil && stream.whole():
		stream.writeWhole()
	case err == nil:
	case stream.begun, fault.Is(err, cell.Crashed), fault.KindOf[cell.Kind](err) == "":
		// The process is gone or the answer has begun: only a broken connection
		// tells the caller.
		panic(http.ErrAbortHandler)
	case fault.Is(err, cell.Rejected):
		reply(stream.writer, http.StatusBadRequest, failure("invalid_request_error", err.Error()))
	default:
		stream.refuse(err)
	}
}

// refuse answers a call that the engine did not run.
func (stream *stream) refuse(err error) {
	stream.writer.Header().Set("Retry-After", "1")
	status := http.StatusServiceUnavailable
	var found *cell.Error
	if errors.As(err, &found) && found.Field == "model" {
		status = http.StatusNotFound
	}
	reply(stream.writer, status, failure("not_run", err.Error()))
}

// writeWhole sends the answer as one JSON object.
func (stream *stream) writeWhole() {
	part := newPart(stream.call, stream.task, 0)
	text := stream.text.String()
	choice := choice{FinishReason: &stream.task.finish}
	if stream.call.Request.Chat {
		part.Object = "chat.completion"
		choice.Message = &delta{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	part.Choices = append(part.Choices, choice)
	part.Usage = newUsage(stream.task, stream.tokens)
	data, _ := json.Marshal(part)
	stream.writer.Header().Set("Content-Type", "application/json")
	if stream.framing.WriteHead(stream.writer, http.StatusOK, len(data)) == nil {
		_, _ = stream.writer.Write(data)
	}
}
