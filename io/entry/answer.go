package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// answer collects and writes one answer to a caller. The id, the model and the
// creation time stay the same over the whole answer, although its pieces may
// come from several engines.
type answer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	parsed  parsed
	created int64

	// mutex guards the answer against pieces that arrive while it ends.
	mutex sync.Mutex
	// closed: the answer has ended; later pieces are refused.
	closed bool
	// ended: the end of the whole answer was written or failed to be.
	ended   bool
	started bool
	tokens  int
	text    strings.Builder
	tools   []json.RawMessage
	finish  string
	usage   map[string]any
	first   time.Time
	last    time.Time
}

func newAnswer(writer http.ResponseWriter, parsed parsed, timeout time.Duration) *answer {
	return &answer{
		writer:  writer,
		control: http.NewResponseController(writer),
		timeout: timeout,
		parsed:  parsed,
		created: parsed.request.Arrived.Unix(),
	}
}

// emit takes the next piece. A piece of another request is dropped. It fails
// with Gone when the caller does not read or the answer has ended.
func (answer *answer) emit(chunk cell.Chunk) error {
	const op = "entry.emit"
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if answer.closed {
		return fault.New(op, cell.Gone, "the answer has ended")
	}
	if chunk.Request != "" && chunk.Request != answer.parsed.request.ID {
		return nil
	}
	now := time.Now()
	if answer.first.IsZero() && chunk.Tokens > 0 {
		answer.first = now
	}
	if chunk.Tokens > 0 {
		answer.last = now
	}
	answer.tokens += chunk.Tokens
	answer.text.WriteString(chunk.Text)
	if chunk.FinishReason != "" {
		answer.finish = chunk.FinishReason
	}
	payload, err := answer.payload(chunk)
	if err != nil {
		return fault.Wrap(op, cell.Broken, err)
	}
	if !answer.parsed.stream || payload == nil {
		return nil
	}
	if err := answer.event(payload); err != nil {
		return fault.Wrap(op, cell.Gone, err)
	}
	return nil
}

// payload rewrites an engine's chunk for the caller and keeps what a whole
// answer needs. It returns nil for a chunk that holds only the usage when the
// caller did not ask for it.
func (answer *answer) payload(chunk cell.Chunk) (map[string]any, error) {
	payload := make(map[string]any)
	if len(chunk.Data) == 0 {
		payload["choices"] = answer.render(chunk)
	} else if err := json.Unmarshal(chunk.Data, &payload); err != nil {
		return nil, err
	}
	if usage, ok := payload["usage"].(map[string]any); ok {
		answer.usage = usage
	}
	delete(payload, "offset")
	delete(payload, "usage")
	payload["id"] = answer.id()
	payload["object"] = answer.object(true)
	payload["created"] = answer.created
	payload["model"] = answer.parsed.request.Model
	choices, _ := payload["choices"].([]any)
	if len(choices) == 0 {
		return nil, nil
	}
	answer.keepTools(choices)
	return payload, nil
}

// render returns the choices of a piece whose payload was dropped when it was
// cut to the part that the caller lacks; none for a piece without content.
func (answer *answer) render(chunk cell.Chunk) []any {
	if chunk.Text == "" && chunk.FinishReason == "" {
		return nil
	}
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if chunk.FinishReason != "" {
		choice["finish_reason"] = chunk.FinishReason
	}
	if answer.parsed.request.Chat {
		choice["delta"] = map[string]string{"content": chunk.Text}
	} else {
		choice["text"] = chunk.Text
	}
	return []any{choice}
}

func (answer *answer) keepTools(choices []any) {
	choice, _ := choices[0].(map[string]any)
	delta, _ := choice["delta"].(map[string]any)
	calls, _ := delta["tool_calls"].([]any)
	for _, call := range calls {
		if raw, err := json.Marshal(call); err == nil {
			answer.tools = append(answer.tools, raw)
		}
	}
}

func (answer *answer) id() string {
	if answer.parsed.request.Chat {
		return "chatcmpl-" + answer.parsed.request.ID
	}
	return "cmpl-" + answer.parsed.request.ID
}

func (answer *answer) object(chunk bool) string {
	switch {
	case !answer.parsed.request.Chat:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// event writes one server-sent event, within the time that a caller has to
// read it.
func (answer *answer) event(payload any) error {
	if !answer.started {
		if err := answer.open(); err != nil {
			return err
		}
	}
	data, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	return answer.line(data)
}

func (answer *answer) open() error {
	header := answer.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	answer.writer.WriteHeader(http.StatusOK)
	answer.started = true
	if !answer.parsed.request.Chat {
		return nil
	}
	return answer.event(map[string]any{
		"id": answer.id(), "object": answer.object(true), "created": answer.created, "model": answer.parsed.request.Model,
		"choices": []any{map[string]any{
			"index": 0, "delta": map[string]string{"role": "assistant", "content": ""}, "finish_reason": nil,
		}},
	})
}

func (answer *answer) line(data []byte) error {
	_ = answer.control.SetWriteDeadline(time.Now().Add(answer.timeout))
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := answer.writer.Write(line); err != nil {
		return err
	}
	if err := answer.control.Flush(); err != nil {
		return err
	}
	// In HTTP/2 a deadline that passes between two pieces ends the stream.
	return answer.control.SetWriteDeadline(time.Time{})
}

// close refuses all pieces from now on. The connection may carry the answer to
// another request next.
func (answer *answer) close() {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	answer.closed = true
}

// end completes an answer that was delivered whole.
func (answer *answer) end() error {
	answer.ended = true
	if err := answer.finalize(); err != nil {
		return fault.Wrap("entry.end", cell.Gone, err)
	}
	return nil
}

func (answer *answer) finalize() error {
	if !answer.parsed.stream {
		_ = answer.control.SetWriteDeadline(time.Now().Add(answer.timeout))
		return writeJSON(answer.writer, http.StatusOK, answer.whole())
	}
	if !answer.started {
		if err := answer.open(); err != nil {
			return err
		}
	}
	if answer.parsed.usage {
		err := answer.event(map[string]any{
			"id": answer.id(), "object": answer.object(true), "created": answer.created,
			"model": answer.parsed.request.Model, "choices": []any{}, "usage": answer.count(),
		})
		if err != nil {
			return err
		}
	}
	return answer.line([]byte("[DONE]"))
}

// fail ends an answer that could not be completed. When already its end could
// not be written, there is nobody to tell.
func (answer *answer) fail(problem problem) {
	if answer.ended {
		return
	}
	_ = answer.control.SetWriteDeadline(time.Now().Add(answer.timeout))
	if !answer.started {
		problem.write(answer.writer)
		return
	}
	// The status is out already. An error event without the closing [DONE]
	// tells the caller that the answer is not whole.
	if data, err := json.Marshal(problem.body()); err == nil {
		_ = answer.line(data)
	}
}

// count returns the usage by the tokens delivered. An engine that resumed an
// answer knows only its own part.
func (answer *answer) count() map[string]any {
	prompt := answer.parsed.request.PromptTokens
	if counted, ok := answer.usage["prompt_tokens"].(float64); ok {
		prompt = int(counted)
	}
	return map[string]any{
		"prompt_tokens":     prompt,
		"completion_tokens": answer.tokens,
		"total_tokens":      prompt + answer.tokens,
	}
}

func (answer *answer) whole() map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": answer.finish, "logprobs": nil}
	if answer.parsed.request.Chat {
		message := map[string]any{"role": "assistant", "content": answer.text.String()}
		if calls := mergeTools(answer.tools); len(calls) > 0 {
			message["tool_calls"] = calls
		}
		choice["message"] = message
	} else {
		choice["text"] = answer.text.String()
	}
	return map[string]any{
		"id": answer.id(), "object": answer.object(false), "created": answer.created,
		"model": answer.parsed.request.Model, "choices": []any{choice}, "usage": answer.count(),
	}
}

// tool is a call of a function as the answer of an engine streams it: the
// first piece names the function, the later ones add to its arguments.
type tool struct {
	Index    int    `json:"index"`
	ID       string `json:"id,omitempty"`
	Type     string `json:"type,omitempty"`
	Function struct {
		Name      string `json:"name,omitempty"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

func mergeTools(pieces []json.RawMessage) []tool {
	var merged []tool
	for _, raw := range pieces {
		var piece tool
		if json.Unmarshal(raw, &piece) != nil {
			continue
		}
		if piece.Index >= 0 && piece.Index < len(merged) {
			merged[piece.Index].Function.Arguments += piece.Function.Arguments
			continue
		}
		piece.Index = len(merged)
		merged = append(merged, piece)
	}
	return merged
}

// gap returns the mean time between tokens, 0 if there were fewer than two.
func (answer *answer) gap() time.Duration {
	if answer.tokens < 2 {
		return 0
	}
	return answer.last.Sub(answer.first) / time.Duration(answer.tokens-1)
}
