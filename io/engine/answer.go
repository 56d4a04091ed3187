package engine

import (
	"encoding/json"
	"io"

	"github.com/tmaxmax/go-sse"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// done is the event that ends a stream.
const done = "[DONE]"

// payload is what the router reads of an engine's chunk.
type payload struct {
	Offset  *int            `json:"offset"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type choice struct {
	Text         string          `json:"text"`
	Delta        json.RawMessage `json:"delta"`
	FinishReason *string         `json:"finish_reason"`
}

type delta struct {
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// answer reads a stream of server-sent events into chunks.
type answer struct {
	offset int
	emit   func(cell.Chunk) error
}

func (answer *answer) read(body io.Reader) error {
	const op = "engine.read"
	finished := false
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maximumEventBytes}) {
		if err != nil {
			return fault.Wrap(op, cell.Broken, err)
		}
		if event.Data == done {
			finished = true
			break
		}
		if err := answer.event(event.Data); err != nil {
			return err
		}
	}
	if !finished {
		return fault.New(op, cell.Broken, "the stream ended before its last event")
	}
	return nil
}

func (answer *answer) event(data string) error {
	const op = "engine.read"
	var found payload
	if err := json.Unmarshal([]byte(data), &found); err != nil {
		return fault.Wrap(op, cell.Broken, err)
	}
	if len(found.Error) > 0 {
		return fault.Wrap(op, cell.Broken, Say(string(found.Error)))
	}
	chunk, err := answer.chunk(found)
	if err != nil {
		return err
	}
	if chunk.Tokens == 0 && chunk.FinishReason == "" && len(found.Usage) == 0 {
		// The opening role delta carries no tokens; the entry host sends its own.
		return nil
	}
	chunk.Data = []byte(data)
	return answer.emit(chunk)
}

// chunk counts one token for each event with content, as engines send them,
// unless the engine numbers its chunks itself.
func (answer *answer) chunk(found payload) (cell.Chunk, error) {
	chunk := cell.Chunk{Offset: answer.offset}
	if found.Offset != nil {
		chunk.Offset = *found.Offset
	}
	if len(found.Choices) == 0 {
		return chunk, nil
	}
	first := found.Choices[0]
	var piece delta
	if len(first.Delta) > 0 {
		if err := json.Unmarshal(first.Delta, &piece); err != nil {
			return chunk, fault.Wrap("engine.read", cell.Broken, err)
		}
	}
	chunk.Text = first.Text + piece.Content
	if chunk.Text != "" || len(piece.ToolCalls) > 0 {
		chunk.Tokens = 1
		answer.offset = chunk.Offset + chunk.Tokens
	}
	if first.FinishReason != nil {
		chunk.FinishReason = *first.FinishReason
	}
	return chunk, nil
}
