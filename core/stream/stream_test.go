package stream_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/fault"
	"primrosegw/core/stream"
)

// Guards against each way in which a chunk can cause wrong, missing or duplicate tokens
// in a response. When the chunk arrives, attempt 2 is current and the response has the
// two tokens "a b ".
func TestAccept(t *testing.T) {
	cases := map[string]struct {
		attempt int
		chunk   stream.Chunk
		want    string
		kind    stream.Kind
	}{
		"next":               {2, stream.Chunk{Offset: 2, Tokens: 1, Text: "c "}, "a b c ", ""},
		"older attempt":      {1, stream.Chunk{Offset: 2, Tokens: 1, Text: "c "}, "a b ", stream.Stale},
		"labelled attempt":   {2, stream.Chunk{Attempt: 1, Offset: 2, Tokens: 1, Text: "c "}, "a b ", stream.Stale},
		"other request":      {2, stream.Chunk{Request: "q", Offset: 2, Tokens: 1, Text: "c "}, "a b ", stream.WrongRequest},
		"old offset":         {2, stream.Chunk{Offset: 1, Tokens: 1, Text: "b "}, "a b ", stream.Duplicate},
		"old finish":         {2, stream.Chunk{Offset: 1, FinishReason: "stop"}, "a b ", stream.Duplicate},
		"missing token":      {2, stream.Chunk{Offset: 3, Tokens: 1, Text: "d "}, "a b ", stream.Gap},
		"finish after a gap": {2, stream.Chunk{Offset: 3, FinishReason: "stop"}, "a b ", stream.Gap},
		"overlap":            {2, stream.Chunk{Offset: 1, Tokens: 3, Text: "b c d "}, "a b c d ", ""},
		"other overlap":      {2, stream.Chunk{Offset: 1, Tokens: 3, Text: "x c d "}, "a b ", stream.Mismatch},
		"opening record":     {2, stream.Chunk{Offset: 2, Data: []byte("{}")}, "a b ", stream.Duplicate},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assembled := stream.New(stream.Options{Request: "p"})
			assembled.BeginAttempt(1)
			for offset, text := range []string{"a ", "b "} {
				_, err := assembled.Accept(1, stream.Chunk{Offset: offset, Tokens: 1, Text: text})
				require.NoError(t, err)
			}
			assembled.BeginAttempt(2)
			_, err := assembled.Accept(test.attempt, test.chunk)
			require.Equal(t, test.kind, fault.KindOf[stream.Kind](err))
			require.Equal(t, test.want, assembled.Text())
		})
	}
}

// Guards against tokens that are lost, duplicated or out of order when attempts fail,
// overlap and deliver late.
func TestAnswerIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "total")
		answer := make([]string, total)
		for index := range answer {
			answer[index] = fmt.Sprintf("t%d ", index)
		}
		assembled := stream.New(stream.Options{Request: "p"})
		var delivered strings.Builder
		for attempt := 1; assembled.Tokens() < total; attempt++ {
			assembled.BeginAttempt(attempt)
			for offset := assembled.Tokens(); offset < total; {
				size := min(rapid.IntRange(1, 4).Draw(t, "size"), total-offset)
				chunk := stream.Chunk{Offset: offset, Tokens: size, Text: strings.Join(answer[offset:offset+size], "")}
				sender := attempt - rapid.IntRange(0, 1).Draw(t, "age")
				accepted, err := assembled.Accept(sender, chunk)
				if err == nil {
					delivered.WriteString(accepted.Text)
				}
				if fault.Is(err, stream.Gap) || fault.Is(err, stream.Mismatch) {
					break
				}
				offset += size - rapid.IntRange(0, size-1).Draw(t, "repeat")
			}
		}
		require.Equal(t, strings.Join(answer, ""), delivered.String())
		require.Equal(t, delivered.String(), assembled.Text())
	})
}
